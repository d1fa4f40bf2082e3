#include "BackendFixture.h"

using namespace Peridot;

namespace {

struct FaultCase
{
    std::string fault;
    AttemptStatus status;
    unsigned runs;
};

const std::vector<FaultCase> faultCases = {
    {"none", AttemptStatus::Answered, 1},
    {"refuse", AttemptStatus::Refused, 0},
    {"leaving", AttemptStatus::Refused, 0},
    {"die-in-body", AttemptStatus::Truncated, 1},
    {"die-in-chunked-body", AttemptStatus::Truncated, 1},
    {"wrong-length", AttemptStatus::Truncated, 1},
    {"undelimited", AttemptStatus::Truncated, 1},
    {"close-before-answer", AttemptStatus::ConnectionLost, 1},
    {"fail-fast", AttemptStatus::Answered, 1},
    {"wrong-id", AttemptStatus::ConnectionLost, 1},
};

std::string echoedId(const BackendAnswer &answer)
{
    return parseJson(answer.body).value()["request_id"].asString();
}

} // namespace

// Guards against an outcome that claims more than the client can know.
TEST_CASE("The end of an attempt is classified exactly")
{
    for (const auto &entry : faultCases) {
        for (const std::string method : {"GET", "POST"}) {
            DYNAMIC_SECTION(method << " with " << entry.fault)
            {
                BackendFixture fixture;
                const auto answer = fixture.run(fixture.request(method, entry.fault));
                REQUIRE(attemptStatusNames.nameOf(answer.status)
                        == attemptStatusNames.nameOf(entry.status));
                REQUIRE(fixture.counts()["runs"]["id-1"].asUInt() == entry.runs);
                REQUIRE(answer.leaving == (entry.fault == "leaving"));
            }
        }
    }
    SECTION("a refused connection was not sent")
    {
        BackendFixture fixture;
        auto request = fixture.request("POST");
        fixture.server.reset();
        const auto answer = fixture.run(std::move(request));
        REQUIRE(answer.status == AttemptStatus::NotSent);
    }
    SECTION("a process that lost its permission before the first byte does not send")
    {
        BackendClientSettings settings;
        bool permitted = true;
        settings.maySend = [&] {
            return permitted;
        };
        BackendFixture fixture(settings);
        REQUIRE(fixture.run(fixture.request("POST")).status == AttemptStatus::Answered);
        permitted = false;
        // The first goes over the open connection and the second over a new one.
        REQUIRE(fixture.run(fixture.request("POST", {}, "id-2")).status == AttemptStatus::NotSent);
        REQUIRE(fixture.run(fixture.request("POST", {}, "id-3")).status == AttemptStatus::NotSent);
        REQUIRE(fixture.counts()["runs"].size() == 1);
        permitted = true;
        REQUIRE(fixture.run(fixture.request("POST", {}, "id-2")).status == AttemptStatus::Answered);
    }
    SECTION("an answer above the limit is never passed on in part")
    {
        BackendClientSettings settings;
        settings.maximumAnswerBytes = 1024;
        BackendFixture fixture(settings);
        auto request = fixture.request("POST", "", "id-1", std::string(5000, 'x'));
        const auto answer = fixture.run(std::move(request));
        REQUIRE(answer.status == AttemptStatus::Truncated);
    }
    SECTION("an HTTP error of the backend server is its answer")
    {
        BackendFixture fixture;
        REQUIRE(fixture.run(fixture.request("GET", "fail-fast")).httpStatus == 500);
    }
}

TEST_CASE("Requests reach the backend server unchanged")
{
    BackendFixture fixture;
    for (const std::string method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"}) {
        DYNAMIC_SECTION(method)
        {
            const auto answer = fixture.run(fixture.request(method));
            REQUIRE(answer.status == AttemptStatus::Answered);
            if (method != "HEAD") {
                const auto body = parseJson(answer.body).value();
                REQUIRE(body["target"].asString() == "/service/x?y=%2e%2E");
                REQUIRE(body["payload"].asString() == (method == "POST" ? "payload of id-1" : ""));
            }
        }
    }
}

// libcurl resends a request on a new connection when a reused one closes before the answer, which
// would run a non-idempotent request twice.
TEST_CASE("A request is sent once when a reused connection closes")
{
    for (const std::string method : {"POST", "GET"}) {
        DYNAMIC_SECTION(method)
        {
            BackendFixture fixture;
            REQUIRE(fixture.run(fixture.request("GET", "", "first")).status
                    == AttemptStatus::Answered);
            const auto answer = fixture.run(fixture.request(method, "close-reused", "second"));
            REQUIRE(answer.status == AttemptStatus::ConnectionLost);
            const auto counts = fixture.counts();
            REQUIRE(counts["runs"]["second"].asUInt() == 1);
        }
    }
}

TEST_CASE("Connections are reused, but never after a doubtful end")
{
    BackendFixture fixture;
    SECTION("whole answers leave the connection open")
    {
        for (int index = 0; index < 5; ++index)
            REQUIRE(fixture.run(fixture.request("POST")).status == AttemptStatus::Answered);
        REQUIRE(fixture.counts()["connections"].asUInt() == 1);
    }
    SECTION("a timed-out connection is closed, so that its late answer reaches no other request")
    {
        auto slow = fixture.request("POST", "slow", "slow");
        slow.timeout = std::chrono::milliseconds(50);
        const auto late = fixture.run(std::move(slow));
        REQUIRE(late.status == AttemptStatus::TimedOut);
        const auto answer = fixture.run(fixture.request("POST", "", "next"));
        REQUIRE(answer.status == AttemptStatus::Answered);
        REQUIRE(echoedId(answer) == "next");
        REQUIRE(fixture.counts()["connections"].asUInt() == 2);
    }
    SECTION("bytes after an answer are never taken for the next one")
    {
        for (int index = 0; index < 20; ++index) {
            const std::string id = "id-" + std::to_string(index);
            const auto answer = fixture.run(fixture.request("GET", "excess-length", id));
            if (answer.status == AttemptStatus::Answered)
                REQUIRE(echoedId(answer) == id);
        }
    }
}

TEST_CASE("Connections to one backend server stay within the limit")
{
    BackendClientSettings settings;
    settings.maximumConnectionsPerServer = 2;
    BackendFixture fixture(settings);
    fixture.server->state().setServiceTime(std::chrono::milliseconds(5));
    int ended = 0;
    for (int index = 0; index < 10; ++index) {
        fixture.client->start(fixture.request("POST", "", "id-" + std::to_string(index)),
                              [&](const BackendAnswer &answer) {
                                  ++ended;
                                  CHECK(answer.status == AttemptStatus::Answered);
                              });
    }
    while (ended < 10)
        fixture.context.run_one();
    REQUIRE(fixture.counts()["connections"].asUInt() == 2);
    REQUIRE(fixture.counts()["most_slots_in_use"].asUInt() <= 2);
}

TEST_CASE("A waiting request that meets its timeout before a connection is free was not sent")
{
    BackendClientSettings settings;
    settings.maximumConnectionsPerServer = 1;
    BackendFixture fixture(settings);
    bool slowEnded = false;
    fixture.client->start(fixture.request("POST", "slow", "slow"),
                          [&](const BackendAnswer &) { slowEnded = true; });
    auto second = fixture.request("POST", "", "second");
    second.timeout = std::chrono::milliseconds(50);
    const auto waited = fixture.run(std::move(second));
    REQUIRE(waited.status == AttemptStatus::NotSent);
    while (!slowEnded)
        fixture.context.run_one();
    REQUIRE(fixture.counts()["runs"]["second"].asUInt() == 0);
}
