#include <LibRpc/RpcClient.h>

#include "RpcTransport.h"
#include <jsonrpccpp/client.h>
#include <utility>

namespace Peridot {

class RpcClient::Connection
{
public:
    explicit Connection(RpcClientSettings settings)
        : m_transport(std::move(settings)), m_client(m_transport)
    {
    }

    Json::Value call(const std::string &method, const Json::Value &parameters)
    {
        return m_client.CallMethod(method, parameters);
    }

private:
    RpcTransport m_transport;
    jsonrpc::Client m_client;
};

RpcClient::RpcClient(RpcClientSettings settings) : m_connection(new Connection(std::move(settings)))
{
}

RpcClient::~RpcClient() = default;

Json::Value RpcClient::call(const std::string &method, const Json::Value &parameters)
{
    try {
        return m_connection->call(method, parameters);
    } catch (const jsonrpc::JsonRpcException &exception) {
        const Json::Value &data = exception.GetData();
        if (data.isObject() && data["code"].isString())
            throw RpcError{data["code"].asString(), data.get("field", "").asString(),
                           data.get("detail", "").asString(), data["data"]};
        const bool connection = exception.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR;
        throw RpcError{connection ? "connection-failed" : "protocol-violation", method,
                       exception.what(), Json::Value()};
    } catch (const Json::Exception &exception) {
        throw RpcError{"protocol-violation", method, exception.what(), Json::Value()};
    }
}

} // namespace Peridot
