#include <LibHttp/CurlMulti.h>

#include <asio/post.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace Peridot {

// Registration of one socket. It stays until libcurl closes the socket: an idle connection keeps
// its entry in the reactor, which saves two system calls a transfer.
//
// It uses a duplicate of libcurl's descriptor, because libcurl closes a socket that is still
// connecting without a call of onCloseSocket(). The number may then belong to a socket of another
// thread, on which this one must not act.
struct CurlMulti::Watch
{
    Watch(asio::io_context &context, curl_socket_t number) : descriptor(context), socket(number)
    {
        // Without a descriptor each wait fails, and libcurl ends the connection by its timeout.
        const int duplicate = fcntl(number, F_DUPFD_CLOEXEC, 0);
        asio::error_code error;
        if (duplicate >= 0 && descriptor.assign(duplicate, error))
            close(duplicate);
    }

    asio::posix::stream_descriptor descriptor;
    const curl_socket_t socket; ///< of libcurl
    bool wantRead = false;
    bool wantWrite = false;
    bool reading = false;
    bool writing = false;
    bool closed = false;
};

namespace {

void ensureGlobalInit()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)code;
}

} // namespace

CurlMulti::CurlMulti(asio::io_context &context, DoneCallback onDone)
    : m_context(context), m_timer(context), m_multi(nullptr), m_onDone(std::move(onDone))
{
    ensureGlobalInit();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlMulti::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlMulti::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlMulti::~CurlMulti()
{
    curl_multi_cleanup(m_multi);
}

bool CurlMulti::add(CURL *easy)
{
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CurlMulti::onCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    return curl_multi_add_handle(m_multi, easy) == CURLM_OK;
}

void CurlMulti::remove(CURL *easy)
{
    curl_multi_remove_handle(m_multi, easy);
}

void CurlMulti::shutDownIdle()
{
    for (const auto &[socket, watch] : m_watches) {
        if (!watch->wantRead && !watch->wantWrite)
            shutdown(watch->descriptor.native_handle(), SHUT_RDWR);
    }
}

int CurlMulti::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *)
{
    static_cast<CurlMulti *>(self)->watchSocket(socket, what);
    return 0;
}

int CurlMulti::onTimer(CURLM *, long milliseconds, void *self)
{
    static_cast<CurlMulti *>(self)->setTimer(milliseconds);
    return 0;
}

int CurlMulti::onCloseSocket(void *self, curl_socket_t socket)
{
    auto &multi = *static_cast<CurlMulti *>(self);
    const auto found = multi.m_watches.find(socket);
    if (found != multi.m_watches.end())
        multi.removeWatch(found);
    return close(socket);
}

void CurlMulti::removeWatch(WatchTable::iterator entry)
{
    const auto watch = entry->second;
    m_watches.erase(entry);
    watch->closed = true;
    asio::error_code error;
    watch->descriptor.close(error);
}

// libcurl moves its timeout several times a transfer. The timer is armed again only for an earlier
// expiry; one that expires too early is armed for the rest. This saves a system call a move.
void CurlMulti::setTimer(long milliseconds)
{
    m_timeout.reset();
    if (milliseconds < 0)
        return;
    if (milliseconds > 0) {
        m_timeout = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
        return armTimer();
    }
    // libcurl must not be called from inside this function.
    if (std::exchange(m_callPosted, true))
        return;
    asio::post(m_context, [this] {
        m_callPosted = false;
        notifyCurl(CURL_SOCKET_TIMEOUT, 0);
    });
}

void CurlMulti::armTimer()
{
    if (m_armed && *m_armed <= *m_timeout)
        return;
    m_armed = m_timeout;
    m_timer.expires_at(*m_armed);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            timerExpired();
    });
}

void CurlMulti::timerExpired()
{
    m_armed.reset();
    if (!m_timeout)
        return;
    if (*m_timeout > std::chrono::steady_clock::now())
        return armTimer();
    m_timeout.reset();
    notifyCurl(CURL_SOCKET_TIMEOUT, 0);
}

void CurlMulti::watchSocket(curl_socket_t socket, int what)
{
    const auto found = m_watches.find(socket);
    if (what == CURL_POLL_REMOVE) {
        // A socket that was still connecting may be closed already.
        if (found != m_watches.end() && found->second->wantWrite)
            removeWatch(found);
        else if (found != m_watches.end())
            found->second->wantRead = false;
        return;
    }
    const auto watch
        = found != m_watches.end() ? found->second : std::make_shared<Watch>(m_context, socket);
    if (found == m_watches.end())
        m_watches.emplace(socket, watch);
    watch->wantRead = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    watch->wantWrite = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
    if (watch->wantRead)
        wait(watch, asio::posix::descriptor_base::wait_read);
    if (watch->wantWrite)
        wait(watch, asio::posix::descriptor_base::wait_write);
}

void CurlMulti::wait(const std::shared_ptr<Watch> &watch,
                     asio::posix::descriptor_base::wait_type type)
{
    const bool read = type == asio::posix::descriptor_base::wait_read;
    bool &pending = read ? watch->reading : watch->writing;
    if (pending || watch->closed)
        return;
    pending = true;
    watch->descriptor.async_wait(type, [this, watch, read](const asio::error_code &error) {
        (read ? watch->reading : watch->writing) = false;
        if (!watch->closed)
            socketReady(watch, read, static_cast<bool>(error));
    });
}

void CurlMulti::socketReady(const std::shared_ptr<Watch> &watch, bool readable, bool failed)
{
    // libcurl looks at an idle connection itself before it uses it again.
    if (!(readable ? watch->wantRead : watch->wantWrite))
        return;
    const int events = failed ? CURL_CSELECT_ERR : readable ? CURL_CSELECT_IN : CURL_CSELECT_OUT;
    notifyCurl(watch->socket, events);
    if (watch->closed || failed)
        return;
    if (watch->wantRead)
        wait(watch, asio::posix::descriptor_base::wait_read);
    if (watch->wantWrite)
        wait(watch, asio::posix::descriptor_base::wait_write);
}

void CurlMulti::notifyCurl(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(m_multi, socket, events, &running);
    collectDone();
}

void CurlMulti::collectDone()
{
    std::vector<std::pair<CURL *, CURLcode>> done;
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg == CURLMSG_DONE)
            done.emplace_back(message->easy_handle, message->data.result);
    }
    for (const auto &[easy, code] : done) {
        remove(easy);
        m_onDone(easy, code);
    }
}

} // namespace Peridot
