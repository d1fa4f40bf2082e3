#pragma once

#include <LibBase/Time.h>
#include <StandIns/Platform/Platform.h>
#include <StandIns/Platform/PlatformServer.h>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <future>
#include <string>
#include <thread>

namespace Peridot {

/// The platform stand-in with its HTTP server on a thread of this process.
class RunningPlatform
{
public:
    explicit RunningPlatform(const PlatformSettings &settings = {})
        : m_platform(settings, currentTime()), m_server(m_context, m_platform)
    {
        m_port = m_server.open("127.0.0.1", 0).value();
        m_thread = std::thread([this] { m_context.run(); });
    }

    /// Runs \a function on the thread of the server and waits for it.
    template <typename Function>
    auto call(Function function)
    {
        std::packaged_task<decltype(function(m_platform))()> task(
            [&] { return function(m_platform); });
        auto result = task.get_future();
        asio::post(m_context, [&] { task(); });
        return result.get();
    }

    ~RunningPlatform()
    {
        call([this](Platform &) { m_server.close(); });
        m_context.stop();
        m_thread.join();
    }

    RunningPlatform(const RunningPlatform &) = delete;
    RunningPlatform &operator=(const RunningPlatform &) = delete;

    std::string address() const { return "http://127.0.0.1:" + std::to_string(m_port); }

    /// Moves the clock of the platform ahead, so that delayed effects happen without waiting.
    void skip(Duration duration)
    {
        call([&](Platform &platform) { platform.tick(currentTime() + duration); });
    }

    static TimePoint currentTime()
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }

private:
    asio::io_context m_context{1};
    Platform m_platform;
    PlatformServer m_server;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace Peridot
