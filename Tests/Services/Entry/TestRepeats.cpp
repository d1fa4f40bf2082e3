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
