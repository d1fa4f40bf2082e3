#include <LibHttp/HttpServer.h>
#include <PlatformStore.h>
#include <PlatformWorkers.h>
#include <catch2/catch.hpp>
#include <mutex>

using namespace Peridot;
using namespace Peridot::Platform;
using namespace std::chrono_literals;

namespace {

/// A server that keeps the bodies of its requests by target.
class RecordingServer
{
public:
    RecordingServer()
    {
        HttpServerHooks hooks;
        hooks.onRequest = [this](const RequestMessage &request,
                                 const std::shared_ptr<HttpResponder> &responder) {
            const std::lock_guard lock(m_mutex);
            m_bodies[request.target] = request.body;
            responder->send({200, {}, "{}"});
        };
        m_server = HttpServer::start(HttpServerSettings{}, std::move(hooks)).value();
    }
    ~RecordingServer() { m_server->stop(); }

    Endpoint endpoint() const { return {"127.0.0.1", m_server->port()}; }
    std::string body(const std::string &target)
    {
        const std::lock_guard lock(m_mutex);
        return m_bodies[target];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_bodies;
    std::unique_ptr<HttpServer> m_server;
};

const Jobs::RunName run{{"0123456789abcdef", 0, 1, 2}, 3};

} // namespace

// Guards against bodies that differ from those that workers and the store know, byte by byte.
TEST_CASE("Orders and transactions are written as in earlier versions")
{
    RecordingServer server;
    asio::io_context context(1);
    TaskQueue tasks(context);
    PlatformHttp http(context, tasks, TaskPriority::Normal);
    PlatformWorkers workers(context, tasks);
    workers.setEndpoint("w", server.endpoint());
    const auto ignore = [](const auto &, const auto &) {
    };
    SECTION("a start order with and without the optional members")
    {
        Jobs::StartOrder start{"w", 1, run, "{\"a\":\"b\\\"\n\x01\xc3\xa9\"}", {}, {}, 170, 5};
        workers.start(start, ignore);
        context.run_for(200ms);
        CHECK(server.body("/v1/run-start")
              == "{\"deadline_ms\":170,\"fencing_token\":5,\"run\":3,"
                 "\"spec\":\"{\\\"a\\\":\\\"b\\\\\\\"\\n\\u0001\xc3\xa9\\\"}\","
                 "\"task\":\"0123456789abcdef.0.1.2\"}");
        start.payload.clear();
        start.checkpoint = "point";
        start.ticket = "ticket";
        workers.start(start, ignore);
        context.restart();
        context.run_for(200ms);
        CHECK(server.body("/v1/run-start")
              == R"({"deadline_ms":170,"fencing_token":5,"run":3,"saved":"point","spec":"",)"
                 R"("task":"0123456789abcdef.0.1.2","ticket":"ticket"})");
    }
    SECTION("stop and throttle orders")
    {
        workers.stop({"w", 1, run, 5}, ignore);
        workers.throttle({"w", 1, run, 40, 5}, ignore);
        context.run_for(200ms);
        CHECK(server.body("/v1/run-stop")
              == R"({"fencing_token":5,"run":3,"task":"0123456789abcdef.0.1.2"})");
        CHECK(server.body("/v1/pace")
              == R"({"fencing_token":5,"percent":40,"run":3,"task":"0123456789abcdef.0.1.2"})");
    }
    SECTION("polls that extend a lease and wait, and others")
    {
        workers.poll({"w", 1, 170, 5, 9, 1500ms, {}}, ignore);
        context.run_for(200ms);
        CHECK(server.body("/v1/hold")
              == R"({"deadline_ms":170,"fencing_token":5,"seen_upto":9,"wait_ms":1500})");
        workers.poll({"w", 1, std::nullopt, 5, 0, {}, {}}, ignore);
        context.restart();
        context.run_for(200ms);
        CHECK(server.body("/v1/hold") == R"({"fencing_token":5,"seen_upto":0})");
    }
    SECTION("a transaction with checks, writes and removals")
    {
        PlatformStore store(http, server.endpoint());
        Transaction transaction;
        transaction.checks = {{"progress/a", 7}, {"progress/b", absentVersion}};
        transaction.writes = {{"progress/a", "{}"}, {"job/0c", std::nullopt}};
        store.commit(transaction, [](const CommitResult &) {});
        context.run_for(200ms);
        CHECK(server.body("/v1/rows-tx")
              == R"({"expected":[{"key":"a","part":"progress","table":"progress","ver":7},)"
                 R"({"key":"b","part":"progress","table":"progress","ver":0}],)"
                 R"("puts":[{"key":"a","part":"progress","table":"progress","value":"e30="}],)"
                 R"("remove":[{"key":"0c","part":"job-0","table":"job"}]})");
    }
}
