#include "ControlClient.h"

#include <LibRpc/RpcClient.h>

namespace Peridot {

namespace {

constexpr long millisecondsPerSecond = 1000;

} // namespace

Json::Value ControlClient::callAt(const std::string &address, const std::string &method,
                                  const Json::Value &parameters) const
{
    const std::string scheme = m_options.authorityFile.empty() ? "http://" : "https://";
    RpcClient client({scheme + address + "/", m_options.timeoutSeconds * millisecondsPerSecond,
                      m_options.authorityFile});
    return client.call(method, parameters);
}

Json::Value ControlClient::call(const std::string &method, Json::Value parameters) const
{
    parameters["token"] = m_options.token;
    RpcError last{"connection-failed", {}, "no address is configured", {}};
    for (const auto &address : m_options.addresses) {
        try {
            return callAt(address, method, parameters);
        } catch (const RpcError &error) {
            if (error.code == "not-leader" && !error.field.empty())
                return callAt(error.field, method, parameters);
            if (error.code != "connection-failed")
                throw;
            last = error;
        }
    }
    throw last;
}

} // namespace Peridot
