// Calls of a scheduling process that a peer passes on to the store.

#include <LibHttp/ClientPool.h>
#include <StoreRelay.h>
#include <asio/post.hpp>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Platform;
using namespace std::chrono_literals;

namespace {

/// A relay behind an HTTP server, as in the process, and a client of it.
class RelayFixture
{
public:
    explicit RelayFixture(std::uint16_t storePort)
        : m_relay(m_context, {"127.0.0.1", storePort}), m_client(m_context, {})
    {
        HttpServerHooks hooks;
        hooks.onRequest
            = [this](RequestMessage message, const std::shared_ptr<HttpResponder> &responder) {
                  asio::post(m_context, [this, message = std::move(message), responder] {
                      m_relay.forward(message, responder);
                  });
              };
        m_server = HttpServer::start({}, std::move(hooks)).value();
    }
    ~RelayFixture() { m_server->stop(); }

    ResponseMessage call(const std::string &method, const std::string &target,
                         const std::string &body = {})
    {
        const RequestMessage message{0, method, target, {}, body};
        REQUIRE(StoreRelay::isRelayed(message));
        std::optional<Exchange> result;
        m_client.exchange({asio::ip::address_v4::loopback(), m_server->port()},
                          ClientConnection::format(message), 20s,
                          [&](Exchange exchange) { result = std::move(exchange); });
        while (!result) {
            m_context.restart();
            m_context.run_for(10ms);
        }
        REQUIRE(result->end == ExchangeEnd::Complete);
        return result->response;
    }

private:
    asio::io_context m_context;
    StoreRelay m_relay;
    ClientPool m_client;
    std::unique_ptr<HttpServer> m_server;
};

std::unique_ptr<HttpServer> startStore(int status)
{
    HttpServerHooks hooks;
    hooks.onRequest = [status](const RequestMessage &message,
                               const std::shared_ptr<HttpResponder> &responder) {
        responder->send({status, {}, message.method + ' ' + message.target + ' ' + message.body});
    };
    return HttpServer::start({}, std::move(hooks)).value();
}

} // namespace

TEST_CASE("A relay passes calls on and returns the answer of the store")
{
    const auto store = startStore(412);
    RelayFixture fixture(store->port());
    const auto answer = fixture.call("POST", "/relay/v1/rows-tx", R"({"puts":[]})");
    CHECK(answer.status == 412);
    CHECK(answer.body == R"(POST /v1/rows-tx {"puts":[]})");
    store->stop();
}

TEST_CASE("A relay that can't reach the store says that nothing was done")
{
    // Guards against a write that is taken for applied, or repeated though it was.
    std::uint16_t port = 0;
    {
        const auto store = startStore(200);
        port = store->port();
        store->stop();
    }
    RelayFixture fixture(port);
    CHECK(fixture.call("GET", "/relay/v1/rows-get?table=job").status == 503);
}

TEST_CASE("Only calls on rows are relayed, and an answer that was lost behind it counts as none")
{
    for (const char *target : {"/relay/v1/blob-put/x", "/v1/rows-tx", "/relay", "/state"})
        CHECK_FALSE(StoreRelay::isRelayed({0, "GET", target, {}, {}}));
    CHECK(StoreRelay::resultOf({CallStatus::Answered, 504, {}}).status == CallStatus::NoAnswer);
    CHECK(StoreRelay::resultOf({CallStatus::Answered, 503, {}}).status == CallStatus::Answered);
}
