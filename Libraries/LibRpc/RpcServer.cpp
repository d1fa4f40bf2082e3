#include <LibRpc/RpcServer.h>

#include "RpcConnector.h"
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>
#include <utility>

namespace Peridot {

namespace {

constexpr int applicationError = -32000; // first code that JSON-RPC leaves to servers

} // namespace

class RpcServer::Dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    Dispatcher()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void addMethod(const std::string &name, Method method)
    {
        m_methods[name] = std::move(method);
        m_protocol->AddProcedure(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }

    jsonrpc::IClientConnectionHandler *handler() { return m_protocol.get(); }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        try {
            output = m_methods.at(procedure.GetProcedureName())(input);
        } catch (const RpcError &error) {
            Json::Value data(Json::objectValue);
            data["code"] = error.code;
            data["field"] = error.field;
            data["detail"] = error.detail;
            data["data"] = error.data;
            throw jsonrpc::JsonRpcException(applicationError, error.code, data);
        } catch (const Json::Exception &exception) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                            exception.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override { }

private:
    std::map<std::string, Method> m_methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

RpcServer::RpcServer(RpcServerSettings settings, PageHandler pages)
    : m_dispatcher(new Dispatcher),
      m_connector(new Connector(std::move(settings), std::move(pages)))
{
    m_connector->SetHandler(m_dispatcher->handler());
}

RpcServer::~RpcServer()
{
    stop();
}

void RpcServer::addMethod(const std::string &name, Method method)
{
    m_dispatcher->addMethod(name, std::move(method));
}

bool RpcServer::start()
{
    return m_connector->StartListening();
}

void RpcServer::stop()
{
    m_connector->StopListening();
}

bool RpcServer::reloadCertificate()
{
    return m_connector->reloadCertificate();
}

std::uint16_t RpcServer::port() const
{
    return m_connector->port();
}

} // namespace Peridot
