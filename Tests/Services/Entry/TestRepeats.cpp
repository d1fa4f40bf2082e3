#include "EntryFixture.h"

using namespace Peridot;

namespace {

RequestMessage repeat(RequestMessage message)
{
    EntryFixture::setHeader(message, "Peridot-Attempt", "2");
    return message;
}

} // namespace

TEST_CASE("A repeat of a non-idempotent request is never run again")
{
    EntryFixture fixture;
    const std::string id = EntryFixture::newId();
    SECTION("an answered request gets the recorded answer, from any entry process")
    {
        const auto message = EntryFixture::request("POST", id);
        const Reply first = fixture.send(message);
        REQUIRE(first.outcome() == "answer");
        const Reply second = fixture.send(repeat(message));
        REQUIRE(second.outcome() == "answer");
        REQUIRE(second.response.body == first.response.body);
        EntrySettings settings = EntryFixture::defaults();
        settings.bootstrap = fixture.table;
        const auto other = fixture.startEntry(settings);
        const Reply third = fixture.send(fixture.connect(other->callerPort()),
                                         ClientConnection::format(repeat(message)));
        REQUIRE(third.outcome() == "answer");
        REQUIRE(third.response.body == first.response.body);
        REQUIRE(fixture.runs(id) == 1);
    }
    SECTION("a request with an unknown outcome stays unknown")
    {
        const auto message = EntryFixture::request("POST", id, "close-before-answer");
        REQUIRE(fixture.send(message).outcome() == "unknown");
        REQUIRE(fixture.send(repeat(message)).outcome() == "unknown");
        REQUIRE(fixture.runs(id) == 1);
    }
    SECTION("another body under the same id is refused")
    {
        auto message = EntryFixture::request("POST", id);
        REQUIRE(fixture.send(message).outcome() == "answer");
        message.body = "something else";
        const Reply reply = fixture.send(repeat(message));
        REQUIRE(reply.reason() == "fingerprint-mismatch");
        REQUIRE(fixture.runs(id) == 1);
    }
    SECTION("a request that was not run may run")
    {
        const auto message = EntryFixture::request("POST", id);
        fixture.backends[0]->state().setFault(Fault::Refuse, 1000);
        REQUIRE(fixture.send(message).outcome() == "not-run");
        fixture.backends[0]->state().setFault(Fault::None, 0);
        REQUIRE(fixture.send(repeat(message)).outcome() == "answer");
        REQUIRE(fixture.runs(id) == 1);
    }
    SECTION("a large answer is repeated as its digest")
    {
        auto message = EntryFixture::request("POST", id);
        message.body = std::string(20000, 'x');
        REQUIRE(fixture.send(message).outcome() == "answer");
        const Reply reply = fixture.send(repeat(message));
        REQUIRE(reply.outcome() == "answer");
        REQUIRE(reply.header("Peridot-Body-Digest").size() == 32);
        REQUIRE(fixture.runs(id) == 1);
    }
}

// Guards against a second run through another entry process while the first copy is executing.
TEST_CASE("A repeat sent to another entry process during the execution is in progress")
{
    EntrySettings settings = EntryFixture::defaults();
    settings.routingPolicy = "two-choices";
    EntryFixture fixture(1, settings);
    settings.bootstrap = fixture.table;
    const auto other = fixture.startEntry(settings);
    const EntryMembers members{2, {fixture.entry->instance(), other->instance()}};
    fixture.entry->hooks().onMembersChanged(members);
    other->hooks().onMembersChanged(members);
    fixture.backends[0]->state().setServiceTime(std::chrono::seconds(3));

    const std::string id = EntryFixture::newId();
    const auto message = EntryFixture::request("POST", id);
    const auto first = fixture.connect(fixture.entry->callerPort());
    std::optional<Reply> reply;
    first->exchange(ClientConnection::format(message), false, std::chrono::seconds(60),
                    [&](Exchange exchange) {
                        reply = Reply{exchange.end, std::move(exchange.response)};
                    });
    while (fixture.runs(id) == 0)
        fixture.context.run_one_for(std::chrono::milliseconds(5));
    const auto ask = [&](const char *attempt) {
        RequestMessage copy = message;
        EntryFixture::setHeader(copy, "Peridot-Attempt", attempt);
        return fixture.send(fixture.connect(other->callerPort()), ClientConnection::format(copy));
    };
    for (const char *attempt : {"2", "1"}) {
        const Reply repeated = ask(attempt);
        REQUIRE(repeated.outcome() == "in-progress");
        REQUIRE(repeated.reason() == "already-running");
        REQUIRE(repeated.response.status == 409);
    }
    while (!reply)
        fixture.context.run_one();
    REQUIRE(reply->outcome() == "answer");
    // The outcome is recorded after the answer.
    Reply last = ask("3");
    while (last.outcome() == "in-progress")
        last = ask("3");
    REQUIRE(last.outcome() == "answer");
    REQUIRE(last.response.body == reply->response.body);
    REQUIRE(fixture.runs(id) == 1);
}

TEST_CASE("A copy below a refused one is superseded at another entry process")
{
    EntryFixture fixture;
    EntrySettings settings = EntryFixture::defaults();
    settings.bootstrap = fixture.table;
    const auto other = fixture.startEntry(settings);
    const std::string id = EntryFixture::newId();
    const auto copy = [&](const char *attempt) {
        auto message = EntryFixture::request("POST", id);
        EntryFixture::setHeader(message, "Peridot-Attempt", attempt);
        return message;
    };
    fixture.backends[0]->state().setFault(Fault::Refuse, 1000);
    REQUIRE(fixture.send(copy("3")).outcome() == "not-run");
    fixture.backends[0]->state().setFault(Fault::None, 0);
    const auto ask = [&](const char *attempt) {
        return fixture.send(fixture.connect(other->callerPort()),
                            ClientConnection::format(copy(attempt)));
    };
    const Reply late = ask("2");
    REQUIRE(late.outcome() == "unknown");
    REQUIRE(late.reason() == "superseded");
    REQUIRE(fixture.runs(id) == 0);
    REQUIRE(ask("4").outcome() == "answer");
    REQUIRE(fixture.runs(id) == 1);
}

TEST_CASE("While the store is down")
{
    EntryFixture fixture;
    fixture.rows->down = true;
    SECTION("idempotent requests are served")
    {
        REQUIRE(fixture.send(EntryFixture::request("GET")).outcome() == "answer");
    }
    SECTION("a declared first send is not run")
    {
        const std::string id = EntryFixture::newId();
        const Reply reply = fixture.send(EntryFixture::request("POST", id));
        REQUIRE(reply.outcome() == "not-run");
        REQUIRE(reply.reason() == "store-unavailable");
        REQUIRE(fixture.runs(id) == 0);
    }
    SECTION("a repeat is unknown")
    {
        const Reply reply = fixture.send(repeat(EntryFixture::request("POST")));
        REQUIRE(reply.outcome() == "unknown");
        REQUIRE(reply.reason() == "store-unavailable");
        REQUIRE(reply.response.status == 503);
    }
}
