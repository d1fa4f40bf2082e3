#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Error.h>
#include <LibBase/TlsSettings.h>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/InputBudget.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peridot {

/// Reason why the server refused input before calling a request handler.
enum class InputFault {
    MalformedRequest,
    HeaderBlockTooLarge,
    TooManyHeaders,
    HeaderTooLong,
    TargetTooLong,
    BodyTooLarge,
    ReadTimeout, ///< the sender was too slow
    UpgradeRequested,
    ConnectionEnded, ///< closed by the budget, see InputBudget, before the request was whole
    TooManyRequests, ///< the budget has no room for the request
};

constexpr auto inputFaultNames = makeEnumTable<InputFault>({
    {InputFault::MalformedRequest, "malformed-request"},
    {InputFault::HeaderBlockTooLarge, "header-block-too-large"},
    {InputFault::TooManyHeaders, "too-many-headers"},
    {InputFault::HeaderTooLong, "header-too-long"},
    {InputFault::TargetTooLong, "target-too-long"},
    {InputFault::BodyTooLarge, "body-too-large"},
    {InputFault::ReadTimeout, "read-timeout"},
    {InputFault::UpgradeRequested, "upgrade-requested"},
    {InputFault::ConnectionEnded, "connection-ended"},
    {InputFault::TooManyRequests, "too-many-requests"},
});

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the operating system
    std::size_t threads = 1;
    /// Further ones wait in the listen backlog. With a budget, the connection that has waited for
    /// its client the longest is closed instead.
    std::size_t maximumConnections = 1000;
    std::size_t maximumHeaders = 100;
    std::size_t maximumBodyBytes = 1024UL * 1024;
    std::chrono::milliseconds readTimeout{10000}; ///< from the first wait to the whole request
    std::optional<TlsSettings> tls; ///< nothing: plain HTTP
    std::shared_ptr<InputBudget> budget; ///< shared with other servers; null: no common limit
};

/// Sends the response to one request, once, from any thread. Later calls have no effect. The
/// response is dropped when the connection is closed.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    virtual void send(ResponseMessage response) = 0;
};

struct HttpServerHooks
{
    /// Called on a server thread for each whole request.
    std::function<void(RequestMessage, std::shared_ptr<HttpResponder>)> onRequest;
    /// Called on a server thread when the connection closed before the response was sent.
    std::function<void(std::uint64_t serial)> onAbandoned;
    /// Builds the response to refused input. Empty: a plain 400, 413
    /// or 503.
    std::function<ResponseMessage(InputFault, const std::string &detail)> onInputFault;
};

/// Response to refused input without a hook for it.
ResponseMessage plainRefusal(InputFault fault, const std::string &detail);

/// HTTP/1.1 server on its own threads. The header block is limited to headerBlockLimit bytes.
class HttpServer
{
public:
    static constexpr std::uint32_t headerBlockLimit = 16 * 1024; ///< bytes, request line included

    /// Listens and starts the threads. Errors: InvalidValue (address), ConnectionFailed (port in
    /// use), with the address and port in the field; those of reloadCertificate().
    static Result<std::unique_ptr<HttpServer>> start(const HttpServerSettings &settings,
                                                     HttpServerHooks hooks);

    virtual ~HttpServer() = default;

    virtual std::uint16_t port() const = 0;
    virtual std::size_t openConnections() const = 0;
    /// Requests received whose response is not yet handed to the operating system.
    virtual std::size_t pendingResponses() const = 0;
    /// Reads the files of the certificate again, for connections that are accepted from now on.
    /// After an error the previous certificate stays in use; without TLS nothing happens. Errors:
    /// FileUnreadable, InvalidValue (the key belongs to another certificate), with the file in the
    /// field.
    virtual Result<void> reloadCertificate() = 0;
    /// Accepts no further connection; open ones stay.
    virtual void closeListener() = 0;
    /// Joins the threads; connections are no longer served. Responders may outlive the server;
    /// their responses are then dropped.
    virtual void stop() = 0;
};

} // namespace Peridot
