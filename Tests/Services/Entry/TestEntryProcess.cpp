#include "EntryFixture.h"
#include <future>

using namespace Peridot;

TEST_CASE("Answers are passed on whole")
{
    EntryFixture fixture;
    const std::string id = EntryFixture::newId();
    SECTION("with the headers of the backend server and the outcome")
    {
        const Reply reply = fixture.send(EntryFixture::request("POST", id));
        REQUIRE(reply.response.status == 200);
        REQUIRE(reply.header("Content-Type") == "application/json");
        REQUIRE(reply.header("Request-Id") == id);
        REQUIRE(reply.body()["payload"].asString() == "payload of " + id);
        REQUIRE(reply.body()["target"].asString() == "/intake/forms/1");
    }
    SECTION("on one connection, each to its own request")
    {
        const auto connection = fixture.connect(fixture.entry->callerPort());
        for (int index = 0; index < 20; ++index) {
            const auto message = EntryFixture::request("POST");
            const Reply reply = fixture.send(connection, ClientConnection::format(message));
            REQUIRE(reply.body()["payload"].asString() == message.body);
        }
    }
    SECTION("an idempotent request needs no id")
    {
        REQUIRE(fixture.send(EntryFixture::request("GET", "")).outcome() == "answer");
    }
}

TEST_CASE("Administration")
{
    EntryFixture fixture;
    REQUIRE(fixture.administration("/health").response.status == 200);
    REQUIRE(fixture.administration("/ready").response.status == 200);
    REQUIRE(fixture.administration("/elsewhere").response.status == 404);
    SECTION("metrics count outcomes")
    {
        REQUIRE(fixture.send(EntryFixture::request("GET")).outcome() == "answer");
        auto refused = EntryFixture::request("GET");
        refused.target = "/elsewhere";
        fixture.send(refused);
        const std::string text = fixture.administration("/metrics").response.body;
        REQUIRE(text.find("peridot_requests_total{outcome=\"answer\",reason=\"none\",service="
                          "\"intake\"} 1")
                != std::string::npos);
        REQUIRE(text.find("peridot_early_refusals_total{reason=\"unknown-service\"} 1")
                != std::string::npos);
    }
    SECTION("the state needs the operator token")
    {
        REQUIRE(fixture.administration("/state").response.status == 401);
        REQUIRE(fixture.administration("/state", {{"Authorization", "Bearer operator-toke"}})
                    .response.status
                == 401);
        const Reply reply
            = fixture.administration("/state", {{"Authorization", "Bearer operator-token"}});
        REQUIRE(reply.response.status == 200);
        REQUIRE(reply.body()["instance"].asString() == fixture.entry->instance());
        REQUIRE(reply.body()["kernel"]["services"].isMember("intake"));
    }
}

TEST_CASE("A process is ready only with a routing table and a lease")
{
    EntryFixture fixture;
    EntrySettings settings = EntryFixture::defaults();
    EntryProcess::Dependencies dependencies;
    dependencies.standalone = false;
    dependencies.makeClaims = [&](const std::string &, DispatcherExecutor executor) {
        return std::make_unique<SharedTableClaims>(fixture.rows, std::move(executor));
    };
    fixture.entry = EntryProcess::start(settings, std::move(dependencies)).value();
    REQUIRE(fixture.administration("/ready").response.status == 503);
    Reply reply = fixture.send(EntryFixture::request("POST"));
    REQUIRE(reply.outcome() == "not-run");
    REQUIRE(reply.reason() == "not-ready");
    // A copy of an undeclared request may have run through another process.
    auto undeclared = EntryFixture::request("POST");
    EntryFixture::setHeader(undeclared, "Peridot-Attempt", "2");
    REQUIRE(fixture.send(undeclared).outcome() == "unknown");

    const EntryHooks &hooks = fixture.entry->hooks();
    hooks.onRoutingTable(fixture.table);
    REQUIRE(fixture.administration("/ready").response.status == 503);
    const auto now = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    hooks.onMembersChanged({1, {fixture.entry->instance()}});
    hooks.onLease(now + std::chrono::hours(1));
    REQUIRE(fixture.administration("/ready").response.status == 200);
    REQUIRE(fixture.send(EntryFixture::request("POST")).outcome() == "answer");

    hooks.onLease(now - std::chrono::seconds(1));
    REQUIRE(fixture.administration("/ready").response.status == 503);
    REQUIRE(fixture.send(EntryFixture::request("GET")).reason() == "not-ready");
}

TEST_CASE("A new routing table takes effect without a restart")
{
    EntryFixture fixture;
    auto table = std::make_shared<RoutingTable>(*fixture.table);
    table->version = 2;
    table->services.push_back({"renewals", 1.0, std::chrono::seconds(5)});
    table->backendServers[0].services.push_back("renewals");
    fixture.entry->hooks().onRoutingTable(table);
    auto message = EntryFixture::request("GET");
    message.target = "/renewals/1";
    REQUIRE(fixture.send(message).outcome() == "answer");
}

TEST_CASE("A graceful stop cuts no request")
{
    EntrySettings settings = EntryFixture::defaults();
    settings.stopGrace = std::chrono::milliseconds(300);
    EntryFixture fixture(1, settings);
    const auto port = fixture.entry->callerPort();
    const auto inFlight = fixture.connect(port);
    const auto idle = fixture.connect(port);
    REQUIRE(fixture.send(idle, ClientConnection::format(EntryFixture::request("GET"))).outcome()
            == "answer");

    const std::string id = EntryFixture::newId();
    std::optional<Reply> reply;
    inFlight->exchange(ClientConnection::format(EntryFixture::request("POST", id, "slow")), false,
                       std::chrono::seconds(60), [&](Exchange exchange) {
                           reply = Reply{exchange.end, std::move(exchange.response)};
                       });
    while (fixture.runs(id) == 0)
        fixture.context.run_one_for(std::chrono::milliseconds(5));
    auto stopped = std::async(std::launch::async, [&] { return fixture.entry->stop(); });
    while (fixture.administration("/ready").response.status == 200)
        fixture.context.poll();

    const Reply refused
        = fixture.send(idle, ClientConnection::format(EntryFixture::request("POST")));
    REQUIRE(refused.outcome() == "not-run");
    REQUIRE(refused.reason() == "stopping");
    REQUIRE(refused.header("Connection") == "close");

    while (!reply)
        fixture.context.run_one();
    REQUIRE(reply->outcome() == "answer");
    REQUIRE(reply->body()["request_id"].asString() == id);
    REQUIRE(stopped.get());
}

TEST_CASE("A flood is refused without losing count of the open requests")
{
    EntrySettings settings = EntryFixture::defaults();
    settings.queueLimit = 2;
    EntryFixture fixture(1, settings);
    fixture.backends[0]->state().setServiceTime(std::chrono::milliseconds(20));
    constexpr int callers = 40;
    int answered = 0;
    int refused = 0;
    std::vector<std::shared_ptr<ClientConnection>> connections;
    for (int index = 0; index < callers; ++index) {
        connections.push_back(fixture.connect(fixture.entry->callerPort()));
        connections.back()->exchange(
            ClientConnection::format(EntryFixture::request("GET")), false, std::chrono::seconds(60),
            [&](Exchange exchange) {
                const Reply reply{exchange.end, std::move(exchange.response)};
                CHECK(reply.end == ExchangeEnd::Complete);
                ++(reply.outcome() == "answer" ? answered : refused);
                if (reply.outcome() != "answer")
                    CHECK(reply.outcome() == "not-run");
            });
    }
    while (answered + refused < callers)
        fixture.context.run_one();
    REQUIRE(answered >= 8);
    // The gate is open again once the flood is over.
    REQUIRE(fixture.send(EntryFixture::request("GET")).outcome() == "answer");
}
