#pragma once

#include "SharedTable.h"
#include <BackendServer.h>
#include <EntryProcess.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibHttp/ClientConnection.h>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstdio>

namespace Peridot {

/// Answer as the caller sees it.
struct Reply
{
    ExchangeEnd end = ExchangeEnd::NotConnected;
    ResponseMessage response;

    std::string header(const char *name) const
    {
        const std::string *value = findHeader(response.headers, name);
        return value != nullptr ? *value : std::string();
    }
    std::string outcome() const { return header("Peridot-Outcome"); }
    Json::Value body() const { return parseJson(response.body).value(); }
    std::string reason() const { return body()["reason"].asString(); }
    std::string field() const { return body()["field"].asString(); }
};

/// Backend servers, one entry process and a caller over real sockets on free ports.
struct EntryFixture
{
    explicit EntryFixture(unsigned backendCount = 1, EntrySettings settings = defaults())
    {
        configureLog(LogLevel::Error);
        auto routing = std::make_shared<RoutingTable>();
        routing->version = 1;
        routing->services.push_back({"intake", 1.0, std::chrono::seconds(20)});
        for (unsigned index = 0; index < backendCount; ++index) {
            BackendSettings backend;
            backend.name = "b" + std::to_string(index);
            backend.address = "127.0.0.1";
            backend.slowTime = std::chrono::seconds(1);
            backends.push_back(BackendServer::start(backend).value());
            routing->backendServers.push_back(
                {backend.name, "127.0.0.1", backends.back()->port(), 8, 64, {"intake"}, false});
        }
        table = routing;
        settings.bootstrap = table;
        entry = startEntry(settings);
    }

    static EntrySettings defaults()
    {
        EntrySettings settings;
        settings.instancePrefix = "e";
        settings.dataCentre = "kochi";
        settings.callers.address = "127.0.0.1";
        settings.administration.address = "127.0.0.1";
        settings.operatorToken = "operator-token";
        settings.stopGrace = std::chrono::milliseconds(0);
        settings.logLevel = "warning";
        return settings;
    }

    std::unique_ptr<EntryProcess> startEntry(const EntrySettings &settings)
    {
        EntryProcess::Dependencies dependencies;
        dependencies.makeClaims = [this](const std::string &, DispatcherExecutor executor) {
            return std::make_unique<SharedTableClaims>(rows, std::move(executor));
        };
        return EntryProcess::start(settings, std::move(dependencies)).value();
    }

    /// A request id made at this time, different for each call.
    static std::string newId(std::chrono::milliseconds age = std::chrono::milliseconds(0))
    {
        static unsigned counter = 0;
        const auto now = std::chrono::system_clock::now().time_since_epoch() - age;
        const auto milliseconds = static_cast<unsigned long long>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
        char text[64];
        std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x", milliseconds >> 16U,
                      milliseconds & 0xffffU, ++counter);
        return text;
    }

    static RequestMessage request(const std::string &method, const std::string &id = newId(),
                                  const std::string &fault = {})
    {
        RequestMessage message;
        message.method = method;
        message.target = "/intake/forms/1";
        message.headers = {{"Peridot-Attempt", "1"}};
        if (!id.empty())
            message.headers.push_back({"Request-Id", id});
        if (!fault.empty())
            message.headers.push_back({"Peridot-Fault", fault});
        if (method == "POST")
            message.body = "payload of " + id;
        return message;
    }

    static void setHeader(RequestMessage &message, const std::string &name,
                          const std::string &value)
    {
        std::erase_if(message.headers,
                      [&](const HttpHeader &header) { return header.name == name; });
        message.headers.push_back({name, value});
    }

    std::shared_ptr<ClientConnection> connect(std::uint16_t port)
    {
        return std::make_shared<ClientConnection>(
            context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
    }

    Reply send(const std::shared_ptr<ClientConnection> &connection, const std::string &text)
    {
        std::optional<Reply> reply;
        connection->exchange(text, false, std::chrono::seconds(60), [&](Exchange exchange) {
            reply = Reply{exchange.end, std::move(exchange.response)};
        });
        while (!reply)
            context.run_one();
        return std::move(*reply);
    }

    Reply send(const RequestMessage &message)
    {
        return send(connect(entry->callerPort()), ClientConnection::format(message));
    }

    Reply administration(const std::string &target, const HttpHeaders &headers = {})
    {
        RequestMessage message;
        message.method = "GET";
        message.target = target;
        message.headers = headers;
        return send(connect(entry->administrationPort()), ClientConnection::format(message));
    }

    unsigned runs(const std::string &id)
    {
        unsigned total = 0;
        for (const auto &backend : backends) {
            const auto counts = parseJson(backend->state().describeRuns()).value();
            total += counts["runs"][id].asUInt();
        }
        return total;
    }

    unsigned totalRuns()
    {
        unsigned total = 0;
        for (const auto &backend : backends)
            total += parseJson(backend->state().describeRuns()).value()["total"].asUInt();
        return total;
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work
        = asio::make_work_guard(context);
    std::vector<std::unique_ptr<BackendServer>> backends;
    std::shared_ptr<SharedTable> rows = std::make_shared<SharedTable>();
    std::shared_ptr<const RoutingTable> table;
    std::unique_ptr<EntryProcess> entry;
};

} // namespace Peridot
