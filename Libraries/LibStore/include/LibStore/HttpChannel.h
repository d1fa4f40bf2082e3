#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Time.h>
#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Peridot {

/// Runs a callback on the thread of its owner. See AsioExecutor.h for Asio contexts.
using CallbackExecutor = std::function<void(std::function<void()>)>;

struct HttpChannelSettings
{
    std::string address; ///< base URL, for example http://127.0.0.1:7100
    std::string instance; ///< sent as Peridot-Instance when not empty
    Duration connectTimeout = std::chrono::seconds(1);
    Duration requestTimeout = std::chrono::seconds(3); ///< from the call to the whole answer
    std::size_t connectionLimit = 16;
    std::size_t requestLimit = 10000; ///< open requests; more are answered NotSent
    std::size_t answerLimit = 64U << 20U; ///< bytes; a longer answer fails the request
};

/// How far a request got.
enum class HttpOutcome {
    Answered, ///< whole answer received
    NotSent, ///< no byte of the request can have reached the server
    MaybeSent, ///< bytes may have reached the server, but no whole answer was received
};

constexpr auto httpOutcomeNames = makeEnumTable<HttpOutcome>({
    {HttpOutcome::Answered, "answered"},
    {HttpOutcome::NotSent, "not-sent"},
    {HttpOutcome::MaybeSent, "maybe-sent"},
});

struct HttpRequest
{
    std::string method; ///< GET, PUT or POST
    std::string path; ///< percent-encoded, starts with a slash
    std::string body;
    /// Allows one send only. libcurl otherwise sends a request again on a new connection when a
    /// reused one closes before the answer begins.
    bool sendOnce = false;
};

struct HttpReply
{
    HttpOutcome outcome = HttpOutcome::NotSent;
    int status = 0;
    std::string body;
    std::string detail; ///< text of the transport error, for logs
};

/// HTTP requests to one server by a libcurl multi handle on a thread of its own. send() does not
/// block. Each callback runs exactly once, on the executor, or on the thread of the channel when
/// there is none. The destructor answers open requests and joins the thread; callbacks that are
/// already on the executor may run after it. The channel must not be destroyed on its own thread.
class HttpChannel
{
public:
    using Callback = std::function<void(const HttpReply &)>;

    explicit HttpChannel(HttpChannelSettings settings, CallbackExecutor executor = {});
    ~HttpChannel();
    HttpChannel(const HttpChannel &) = delete;
    HttpChannel &operator=(const HttpChannel &) = delete;

    void send(HttpRequest request, Callback callback);

    /// Number of requests that are queued or in flight.
    std::size_t openRequests() const { return m_open; }

private:
    struct Transfer;

    void runLoop();
    void startQueued();
    void start(std::unique_ptr<Transfer> transfer);
    void *takeHandle();
    void configure(void *handle, Transfer &transfer);
    void finishTransfers();
    void finish(void *handle, int code);
    void deliver(std::unique_ptr<Transfer> transfer);
    void abortAll();

    const HttpChannelSettings m_settings;
    const CallbackExecutor m_executor;
    void *m_multi = nullptr;
    void *m_headers = nullptr;
    std::atomic<std::size_t> m_open{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::deque<std::unique_ptr<Transfer>> m_queue; ///< guarded by m_mutex
    std::unordered_map<void *, std::unique_ptr<Transfer>> m_active; ///< by easy handle
    std::vector<void *> m_idleHandles;
    std::thread m_thread;
};

} // namespace Peridot
