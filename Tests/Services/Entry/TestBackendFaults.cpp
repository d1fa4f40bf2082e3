#include "EntryFixture.h"

using namespace Peridot;

namespace {

struct FaultCase
{
    std::string method;
    std::string fault;
    int status;
    std::string outcome;
    std::string reason; ///< empty for answers
    unsigned runs;
};

// One backend server, so a retry meets the same fault. Idempotent requests are retried, hence the
// runs; a non-idempotent one runs at most once, whatever happens.
const std::vector<FaultCase> faultCases = {
    {"POST", "none", 200, "answer", "", 1},
    {"POST", "fail-fast", 500, "answer", "", 1},
    {"POST", "refuse", 503, "not-run", "backend-refused", 0},
    {"POST", "die-in-body", 502, "unknown", "truncated-answer", 1},
    {"POST", "die-in-chunked-body", 502, "unknown", "truncated-answer", 1},
    {"POST", "wrong-length", 502, "unknown", "truncated-answer", 1},
    {"POST", "undelimited", 502, "unknown", "truncated-answer", 1},
    {"POST", "close-before-answer", 502, "unknown", "backend-connection-lost", 1},
    {"POST", "wrong-id", 502, "unknown", "backend-connection-lost", 1},
    {"POST", "slow", 504, "unknown", "backend-timeout", 1},
    {"PATCH", "close-before-answer", 502, "unknown", "backend-connection-lost", 1},
    {"GET", "none", 200, "answer", "", 1},
    {"GET", "fail-fast", 500, "answer", "", 1},
    {"GET", "refuse", 503, "not-run", "backend-refused", 0},
};

} // namespace

// Guards against an outcome that contradicts what the backend server did.
TEST_CASE("Each backend fault leads to a truthful outcome")
{
    for (const auto &entry : faultCases) {
        DYNAMIC_SECTION(entry.method << " with " << entry.fault)
        {
            EntryFixture fixture;
            const std::string id = EntryFixture::newId();
            auto message = EntryFixture::request(entry.method, id, entry.fault);
            if (entry.fault == "slow")
                message.headers.push_back({"Peridot-Deadline-Ms", "200"});
            const Reply reply = fixture.send(message);
            REQUIRE(reply.end == ExchangeEnd::Complete);
            REQUIRE(reply.outcome() == entry.outcome);
            REQUIRE(reply.response.status == entry.status);
            if (!entry.reason.empty()) {
                REQUIRE(reply.reason() == entry.reason);
                REQUIRE(reply.body()["request_id"].asString() == id);
                REQUIRE_FALSE(reply.header("Retry-After").empty());
            } else {
                REQUIRE(reply.body()["request_id"].asString() == id);
            }
            REQUIRE(fixture.runs(id) == entry.runs);
        }
    }
}

TEST_CASE("An idempotent request survives a backend server that breaks connections")
{
    for (const std::string fault :
         {"die-in-body", "die-in-chunked-body", "wrong-length", "close-before-answer", "refuse"}) {
        DYNAMIC_SECTION(fault)
        {
            EntryFixture fixture(2);
            fixture.backends[0]->state().setFault(faultNames.valueOf(fault).value(), 1000);
            for (int index = 0; index < 5; ++index) {
                const Reply reply = fixture.send(EntryFixture::request("GET"));
                REQUIRE(reply.outcome() == "answer");
                REQUIRE(reply.body()["server"].asString() == "b1");
            }
        }
    }
}

// libcurl resends a request on its own when a reused connection closes before the answer.
TEST_CASE("A POST is sent once when a reused connection closes")
{
    EntryFixture fixture;
    REQUIRE(fixture.send(EntryFixture::request("GET")).outcome() == "answer");
    const std::string id = EntryFixture::newId();
    const Reply reply = fixture.send(EntryFixture::request("POST", id, "close-reused"));
    REQUIRE(reply.outcome() == "unknown");
    REQUIRE(reply.response.status == 502);
    REQUIRE(fixture.runs(id) == 1);
}

TEST_CASE("A leaving backend server gets no further work")
{
    EntryFixture fixture(2);
    fixture.backends[0]->state().setFault(Fault::Leaving, 1);
    for (int index = 0; index < 20; ++index)
        REQUIRE(fixture.send(EntryFixture::request("POST")).outcome() == "answer");
    const auto counts = parseJson(fixture.backends[0]->state().describeRuns()).value();
    // It served until its one refusal and nothing afterwards.
    const unsigned before = counts["total"].asUInt();
    for (int index = 0; index < 10; ++index)
        REQUIRE(fixture.send(EntryFixture::request("POST")).outcome() == "answer");
    const auto after = parseJson(fixture.backends[0]->state().describeRuns()).value();
    REQUIRE(after["total"].asUInt() == before);
}

TEST_CASE("No backend server can be reached")
{
    EntryFixture fixture;
    fixture.backends.clear();
    for (const std::string method : {"GET", "POST"}) {
        DYNAMIC_SECTION(method)
        {
            const Reply reply = fixture.send(EntryFixture::request(method));
            REQUIRE(reply.outcome() == "not-run");
            REQUIRE(reply.reason() == "backend-connection-failed");
            REQUIRE(reply.response.status == 503);
        }
    }
}
