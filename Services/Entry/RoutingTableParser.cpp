#include "EntrySettings.h"

#include <set>

namespace Peridot {

namespace {

std::string pathOf(const char *list, Json::ArrayIndex index)
{
    return std::string("bootstrap.") + list + '[' + std::to_string(index) + ']';
}

Result<BackendServerRoute> parseBackendServer(const Json::Value &value, const std::string &path,
                                              const std::set<std::string> &services)
{
    BackendServerRoute server;
    server.name = value["name"].asString();
    server.address = value["address"].asString();
    server.port = static_cast<std::uint16_t>(value["port"].asUInt());
    server.slots = value.get("slots", server.slots).asUInt();
    server.connections = value.get("connections", server.connections).asUInt();
    server.leaving = value.get("leaving", false).asBool();
    for (const auto &service : value["services"]) {
        if (services.count(service.asString()) == 0)
            return makeError(ErrorCode::UnknownReference, path + ".services", service.asString());
        server.services.push_back(service.asString());
    }
    return server;
}

} // namespace

Result<std::shared_ptr<const RoutingTable>> parseRoutingTable(const Json::Value &value)
{
    auto table = std::make_shared<RoutingTable>();
    table->version = value.get("version", 0).asUInt64();
    std::set<std::string> services;
    for (Json::ArrayIndex index = 0; index < value["services"].size(); ++index) {
        const Json::Value &entry = value["services"][index];
        ServiceRoute service;
        service.name = entry["name"].asString();
        service.weight = entry.get("weight", service.weight).asDouble();
        if (entry.isMember("deadline_ms"))
            service.deadline = std::chrono::milliseconds(entry["deadline_ms"].asInt64());
        if (!services.insert(service.name).second)
            return makeError(ErrorCode::DuplicateName, pathOf("services", index), service.name);
        table->services.push_back(std::move(service));
    }
    std::set<std::string> servers;
    for (Json::ArrayIndex index = 0; index < value["backend_servers"].size(); ++index) {
        const std::string path = pathOf("backend_servers", index);
        BOOST_LEAF_AUTO(server,
                        parseBackendServer(value["backend_servers"][index], path, services));
        if (!servers.insert(server.name).second)
            return makeError(ErrorCode::DuplicateName, path, server.name);
        table->backendServers.push_back(std::move(server));
    }
    return std::shared_ptr<const RoutingTable>(std::move(table));
}

} // namespace Peridot
