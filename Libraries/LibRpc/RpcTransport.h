#pragma once

#include <LibRpc/RpcClient.h>
#include <curl/curl.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <string>

namespace Peridot {

/// HTTP side of RpcClient on libcurl. The connector of libjsonrpccpp cannot be told which authority
/// signed the certificate of the server, so it is not used.
class RpcTransport : public jsonrpc::IClientConnector
{
public:
    explicit RpcTransport(RpcClientSettings settings);
    ~RpcTransport() override;
    RpcTransport(const RpcTransport &) = delete;
    RpcTransport &operator=(const RpcTransport &) = delete;

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override;

private:
    RpcClientSettings m_settings;
    CURL *m_easy;
    curl_slist *m_headers;
};

} // namespace Peridot
