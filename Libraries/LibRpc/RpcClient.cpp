#include <LibRpc/RpcClient.h>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace Peridot {

class RpcClient::Connection
{
public:
    Connection(const std::string &url, long timeoutMilliseconds) : m_http(url), m_client(m_http)
    {
        m_http.SetTimeout(timeoutMilliseconds);
    }

    Json::Value call(const std::string &method, const Json::Value &parameters)
    {
        return m_client.CallMethod(method, parameters);
    }

private:
    jsonrpc::HttpClient m_http;
    jsonrpc::Client m_client;
};

RpcClient::RpcClient(const std::string &url, long timeoutMilliseconds)
    : m_connection(new Connection(url, timeoutMilliseconds))
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
