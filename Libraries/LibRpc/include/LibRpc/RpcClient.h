#pragma once

#include <LibRpc/RpcError.h>
#include <memory>
#include <string>

namespace Peridot {

struct RpcClientSettings
{
    std::string url; ///< for example https://127.0.0.1:7200/
    long timeoutMilliseconds = 0; ///< of one call; 0: none
    std::string authorityFile; ///< PEM certificates that may sign the server's; empty: the system's
};

/// Blocking JSON-RPC 2.0 client for command line programs.
class RpcClient
{
public:
    explicit RpcClient(RpcClientSettings settings);
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
