#include <LibHttp/HttpServer.h>
#include <PlatformWorkers.h>
#include <catch2/catch.hpp>
#include <mutex>

using namespace Peridot;
using namespace Peridot::Platform;
using namespace std::chrono_literals;

namespace {

/// A worker that never answers start orders.
class WorkerThatHoldsStarts
{
public:
    WorkerThatHoldsStarts()
    {
        HttpServerHooks hooks;
        hooks.onRequest = [this](const RequestMessage &request,
                                 const std::shared_ptr<HttpResponder> &responder) {
            const std::lock_guard lock(m_mutex);
            if (request.target == "/v1/run-start")
                m_starts.push_back(responder);
            else
                responder->send({200, {}, R"({"clock_ms":1,"born":1,"running":[],"ended":[]})"});
        };
        m_server = HttpServer::start(HttpServerSettings{}, std::move(hooks)).value();
    }
    ~WorkerThatHoldsStarts() { m_server->stop(); }

    std::uint16_t port() const { return m_server->port(); }
    std::size_t heldStarts()
    {
        const std::lock_guard lock(m_mutex);
        return m_starts.size();
    }

private:
    std::mutex m_mutex;
    std::vector<std::shared_ptr<HttpResponder>> m_starts;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

TEST_CASE("Start orders take few connections to a worker, and stop orders and polls none of them")
{
    // Guards against workers that accept no more connections, because schedulers that lost power
    // had opened many: tasks were neither started nor stopped there (LOST, UNASKED).
    WorkerThatHoldsStarts server;
    asio::io_context context(1);
    TaskQueue tasks(context);
    PlatformWorkers workers(context, tasks);
    workers.setEndpoint("w", {"127.0.0.1", server.port()});
    for (unsigned index = 0; index < 20; ++index) {
        Jobs::StartOrder start;
        start.worker = "w";
        start.run = {{"0123456789abcdef", 0, 0, index}, 1};
        workers.start(start, [](const auto &, const auto &) {});
    }
    unsigned accepted = 0;
    const auto count = [&](const auto &, const auto &reply) {
        accepted += reply.outcome == Jobs::OrderOutcome::Accepted ? 1 : 0;
    };
    Jobs::StopOrder stop;
    stop.worker = "w";
    stop.run = {{"0123456789abcdef", 0, 0, 0}, 1};
    workers.stop(stop, count);
    Jobs::PollOrder poll;
    poll.worker = "w";
    workers.poll(poll, count);
    context.run_for(400ms); // less than the timeout of a start order
    CHECK(accepted == 2);
    CHECK(server.heldStarts() == 4);
}
