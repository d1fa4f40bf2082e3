#pragma once

#include <LibStore/AsioExecutor.h>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>

namespace Peridot {

/// Runs callbacks on the thread of the test.
class CallbackLoop
{
public:
    CallbackExecutor executor() { return asioExecutor(m_context.get_executor()); }

    /// Fails the test when \a done does not hold in time; the limit only ends a hanging run.
    void runUntil(const std::function<bool()> &done)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!done()) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            m_context.run_one_for(std::chrono::milliseconds(100));
        }
    }

    /// Calls \a start with a callback and returns what the callback receives.
    template <typename Answer, typename Start>
    Answer wait(Start start)
    {
        std::optional<Answer> answer;
        start([&](const Answer &result) { answer = result; });
        runUntil([&] { return answer.has_value(); });
        return *answer;
    }

private:
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
};

} // namespace Peridot
