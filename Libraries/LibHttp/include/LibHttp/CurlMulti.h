#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <curl/curl.h>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace Peridot {

/// Drives a libcurl multi handle from an Asio context. Single-threaded: every call is made on the
/// thread that runs the context.
class CurlMulti
{
public:
    using DoneCallback = std::function<void(CURL *, CURLcode)>;

    CurlMulti(asio::io_context &context, DoneCallback onDone);
    ~CurlMulti();
    CurlMulti(const CurlMulti &) = delete;
    CurlMulti &operator=(const CurlMulti &) = delete;

    CURLM *handle() const { return m_multi; }

    /// Configures \a easy for this object and starts it. Returns false when libcurl refused it.
    bool add(CURL *easy);
    void remove(CURL *easy);
    /// Shuts down the connections that no transfer uses. libcurl has no call to close them; it
    /// discards them when it finds them closed.
    void shutDownIdle();

private:
    struct Watch;
    using WatchTable = std::unordered_map<curl_socket_t, std::shared_ptr<Watch>>;

    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *watch);
    static int onTimer(CURLM *multi, long milliseconds, void *self);
    static int onCloseSocket(void *self, curl_socket_t socket);

    void setTimer(long milliseconds);
    void armTimer();
    void timerExpired();
    void removeWatch(WatchTable::iterator entry);
    void watchSocket(curl_socket_t socket, int what);
    void wait(const std::shared_ptr<Watch> &watch, asio::posix::descriptor_base::wait_type type);
    void socketReady(const std::shared_ptr<Watch> &watch, bool readable, bool failed);
    void notifyCurl(curl_socket_t socket, int events);
    void collectDone();

    asio::io_context &m_context;
    asio::steady_timer m_timer;
    std::optional<std::chrono::steady_clock::time_point> m_timeout; ///< requested by libcurl
    std::optional<std::chrono::steady_clock::time_point> m_armed; ///< expiry of m_timer
    bool m_callPosted = false;
    CURLM *m_multi;
    DoneCallback m_onDone;
    WatchTable m_watches;
};

} // namespace Peridot
