#pragma once

#include <BackendServer.h>
#include <LibBase/Json.h>
#include <LibHttp/BackendClient.h>
#include <asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

namespace Peridot {

/// Backend stand-in on a free port and a client that runs on the thread of the test.
struct BackendFixture
{
    explicit BackendFixture(const BackendClientSettings &clientSettings = {}, unsigned slots = 8)
    {
        BackendSettings settings;
        settings.name = "b1";
        settings.address = "127.0.0.1";
        settings.slots = slots;
        settings.slowTime = std::chrono::seconds(2);
        server = BackendServer::start(settings).value();
        client = std::make_unique<BackendClient>(context, clientSettings);
    }

    BackendRequest request(const std::string &method, const std::string &fault = {},
                           const std::string &id = "id-1", const std::string &payload = {})
    {
        BackendRequest result;
        result.address = "127.0.0.1";
        result.port = server->port();
        auto message = std::make_shared<RequestMessage>();
        message->method = method;
        message->target = "/service/x?y=%2e%2E";
        result.requestId = id;
        message->headers = {{"Request-Id", id}};
        if (!fault.empty())
            message->headers.push_back({"Peridot-Fault", fault});
        if (method == "POST")
            message->body = payload.empty() ? "payload of " + id : payload;
        result.message = std::move(message);
        result.timeout = std::chrono::seconds(30);
        return result;
    }

    /// Runs the context until the request ended.
    BackendAnswer run(BackendRequest backendRequest)
    {
        std::optional<BackendAnswer> result;
        client->start(std::move(backendRequest),
                      [&](BackendAnswer answer) { result = std::move(answer); });
        while (!result)
            context.run_one();
        return std::move(*result);
    }

    Json::Value counts() { return parseJson(server->state().describeRuns()).value(); }

    std::unique_ptr<BackendServer> server;
    asio::io_context context;
    // Without it the context stops for good when it runs out of work between two requests.
    asio::executor_work_guard<asio::io_context::executor_type> work
        = asio::make_work_guard(context);
    std::unique_ptr<BackendClient> client;
};

} // namespace Peridot
