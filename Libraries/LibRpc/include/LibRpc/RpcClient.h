#pragma once

#include <LibRpc/RpcError.h>
#include <memory>
#include <string>

namespace Peridot {

/// Blocking JSON-RPC 2.0 client, for command line programs. Not for the request path.
class RpcClient
{
public:
    /// \a url for example http://127.0.0.1:7200/; \a timeoutMilliseconds for one call.
    RpcClient(const std::string &url, long timeoutMilliseconds);
    ~RpcClient();
    RpcClient(const RpcClient &) = delete;
    RpcClient &operator=(const RpcClient &) = delete;

    /// Result of the method. Throws RpcError.
    Json::Value call(const std::string &method, const Json::Value &parameters);

private:
    class Connection;

    std::unique_ptr<Connection> m_connection;
};

} // namespace Peridot
