#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibBase/Time.h>
#include <LibHttp/CurlMulti.h>
#include <LibHttp/HttpMessage.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Peridot {

class BackendTransfer;

struct BackendClientSettings
{
    std::size_t maximumAnswerBytes = 4UL * 1024 * 1024; ///< headers and body
    long maximumConnectionsPerServer = 64; ///< this client's share of the server's limit
    std::chrono::milliseconds connectTimeout{1000};
    /// Idle connections older than this are not used again. It must be shorter than the idle
    /// timeout of the backend servers, or non-idempotent requests meet closing connections.
    std::chrono::seconds idleConnectionTimeout{5};
    /// Called on the thread of the client immediately before the bytes of a request are sent. When
    /// it returns false, the request ends as NotSent. Empty: requests are always sent.
    std::function<bool()> maySend;
};

struct BackendRequest
{
    std::string address; ///< IP address
    std::uint16_t port = 0;
    std::shared_ptr<const RequestMessage> message; ///< shared, because a retry sends it again
    std::chrono::milliseconds timeout{0}; ///< for the whole attempt
    std::string requestId; ///< when set, an answer that echoes another Request-Id is refused
};

struct BackendAnswer
{
    AttemptStatus status = AttemptStatus::NotSent;
    int httpStatus = 0;
    HttpHeaders headers; ///< without hop-by-hop headers
    std::string body;
    bool leaving = false; ///< the server sent Peridot-Leaving: 1
    std::string detail; ///< for the log
};

/// Sends requests to backend servers over reused connections. Single-threaded on its context. No
/// request is ever sent twice: libcurl's own resend on a closed reused connection is aborted, and
/// the attempt ends as ConnectionLost.
class BackendClient
{
public:
    using Callback = std::function<void(BackendAnswer)>;

    BackendClient(asio::io_context &context, const BackendClientSettings &settings);
    ~BackendClient();

    /// Calls \a callback exactly once, after this function has returned, on the thread of the
    /// context. The destructor drops the callbacks of transfers that have not ended.
    void start(BackendRequest request, Callback callback);

    void setMaximumConnectionsPerServer(long connections);

    /// Closes idle connections now and those in use when their transfer ends.
    void closeConnections();

    std::size_t openTransfers() const { return m_open; }

private:
    void finished(CURL *easy, CURLcode code);

    asio::io_context &m_context;
    BackendClientSettings m_settings;
    CurlMulti m_multi;
    std::vector<std::unique_ptr<BackendTransfer>> m_transfers; ///< including idle ones, for reuse
    std::vector<BackendTransfer *> m_idle;
    std::size_t m_open = 0;
};

} // namespace Peridot
