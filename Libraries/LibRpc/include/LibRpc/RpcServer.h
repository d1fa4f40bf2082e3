#pragma once

#include <LibRpc/RpcError.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Peridot {

struct RpcServerSettings
{
    std::string address; ///< IPv4 address to bind
    std::uint16_t port = 0; ///< 0 binds any free port
    std::size_t bodyLimit = 8U << 20U; ///< bytes of a request
    unsigned threads = 2;
    unsigned connectionLimit = 64;
    std::string certificateFile; ///< PEM chain; empty: plain HTTP
    std::string keyFile; ///< PEM private key of the certificate
};

struct RpcPage
{
    int status = 200;
    std::string contentType;
    std::string body;
};

/// JSON-RPC 2.0 over POST and plain pages over GET, on threads of its own. Methods and pages run on
/// those threads, several at the same time, and may block.
class RpcServer
{
public:
    /// Gets the named parameters and returns the result, or throws RpcError.
    using Method = std::function<Json::Value(const Json::Value &parameters)>;
    using PageHandler = std::function<RpcPage(const std::string &path)>;

    RpcServer(RpcServerSettings settings, PageHandler pages);
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    /// Before start() only.
    void addMethod(const std::string &name, Method method);
    /// Returns whether the address could be bound and the certificate, if any, be used.
    bool start();
    void stop();
    /// Reads the files of the certificate again and uses them on the same port, after the calls in
    /// progress have ended. Returns false and keeps the previous certificate when the files are
    /// unusable.
    bool reloadCertificate();
    std::uint16_t port() const;

private:
    class Connector;
    class Dispatcher;

    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<Connector> m_connector;
};

} // namespace Peridot
