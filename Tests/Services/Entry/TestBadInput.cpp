#include "EntryFixture.h"

using namespace Peridot;

namespace {

struct InputCase
{
    std::string name;
    std::function<void(RequestMessage &)> change;
    int status;
    std::string reason;
    std::string field;
    std::string outcome = "not-run";
};

using Fixture = EntryFixture;

std::vector<InputCase> inputCases()
{
    const auto header = [](const char *name, const std::string &value) {
        return [name, value](RequestMessage &message) {
            Fixture::setHeader(message, name, value);
        };
    };
    const auto without = [](const std::string &name) {
        return [name](RequestMessage &message) {
            std::erase_if(message.headers,
                          [&](const HttpHeader &entry) { return entry.name == name; });
        };
    };
    const auto twice = [](const std::string &name, const std::string &value) {
        return [name, value](RequestMessage &message) {
            message.headers.push_back({name, value});
            message.headers.push_back({name, value});
        };
    };
    const auto target = [](const std::string &value) {
        return [value](RequestMessage &message) {
            message.target = value;
        };
    };
    const std::string id = "Request-Id";
    const std::string badId = "invalid-request-id";
    const std::string bad = "bad-request";
    const std::chrono::minutes future{-10};
    return {
        {"missing id", without(id), 400, "missing-request-id", id},
        {"empty id", header("Request-Id", ""), 400, badId, id},
        {"over-long id", header("Request-Id", std::string(65, 'a')), 400, badId, id},
        {"id with other characters", header("Request-Id", "a b\tc"), 400, badId, id},
        {"version 4 id", header("Request-Id", "01936f2e-5b7c-4abc-8def-0123456789ab"), 400, badId,
         id},
        {"wrong variant", header("Request-Id", "01936f2e-5b7c-7abc-cdef-0123456789ab"), 400, badId,
         id},
        {"id without hyphens", header("Request-Id", "01936f2e5b7c7abc8def0123456789ab"), 400, badId,
         id},
        {"id from the future", header("Request-Id", Fixture::newId(future)), 400, badId, ""},
        {"two ids", twice(id, Fixture::newId()), 400, bad, id},
        {"unknown service", target("/elsewhere/x"), 404, "unknown-service", "target"},
        {"no service", target("/"), 404, "unknown-service", "target"},
        {"empty segment", target("//intake"), 404, "unknown-service", "target"},
        {"service as a prefix", target("/intakes"), 404, "unknown-service", "target"},
        {"service in the query", target("/?/intake"), 404, "unknown-service", "target"},
        {"unknown method", [](RequestMessage &message) { message.method = "PROPFIND"; }, 400, bad,
         "method"},
        {"TRACE", [](RequestMessage &message) { message.method = "TRACE"; }, 400, bad, "method"},
        {"unknown urgency", header("Peridot-Urgency", "very"), 400, bad, "Peridot-Urgency"},
        {"two urgencies", twice("Peridot-Urgency", "urgent"), 400, bad, "Peridot-Urgency"},
        {"deadline 0", header("Peridot-Deadline-Ms", "0"), 400, bad, "Peridot-Deadline-Ms"},
        {"negative deadline", header("Peridot-Deadline-Ms", "-5"), 400, bad, "Peridot-Deadline-Ms"},
        {"deadline in words", header("Peridot-Deadline-Ms", "10s"), 400, bad,
         "Peridot-Deadline-Ms"},
        {"endless deadline", header("Peridot-Deadline-Ms", "99999999999999999999"), 400, bad,
         "Peridot-Deadline-Ms"},
        // Nothing tells whether an earlier copy, with a valid number, has run.
        {"attempt 0", header("Peridot-Attempt", "0"), 400, bad, "Peridot-Attempt", "unknown"},
        {"attempt in words", header("Peridot-Attempt", "first"), 400, bad, "Peridot-Attempt",
         "unknown"},
        {"two attempts", twice("Peridot-Attempt", "1"), 400, bad, "Peridot-Attempt", "unknown"},
        {"repeat with an unknown urgency",
         [](RequestMessage &message) {
             Fixture::setHeader(message, "Peridot-Attempt", "2");
             Fixture::setHeader(message, "Peridot-Urgency", "very");
         },
         400, bad, "Peridot-Urgency", "unknown"},
        {"repeat to a service that this process does not list",
         [](RequestMessage &message) {
             Fixture::setHeader(message, "Peridot-Attempt", "2");
             message.target = "/elsewhere/x";
         },
         404, "unknown-service", "target", "unknown"},
        {"body above 1 MiB",
         [](RequestMessage &message) { message.body = std::string(1048577, 'x'); }, 413,
         "body-too-large", "body"},
        {"long header", header("Other", std::string(17000, 'x')), 400, bad, "headers"},
        {"header flood",
         [](RequestMessage &message) {
             for (int index = 0; index < 101; ++index)
                 message.headers.push_back({"N" + std::to_string(index), "v"});
         },
         400, bad, "headers"},
        {"space in a header name", header("Bad Name", "x"), 400, bad, "message"},
    };
}

} // namespace

// Guards against bad input that reaches a backend server, and against refusals without a cause.
TEST_CASE("Bad input is refused with the field at fault, as not run when no copy can have run")
{
    EntryFixture fixture;
    for (const auto &entry : inputCases()) {
        DYNAMIC_SECTION(entry.name)
        {
            auto message = Fixture::request("POST");
            entry.change(message);
            const Reply reply = fixture.send(message);
            REQUIRE(reply.end == ExchangeEnd::Complete);
            REQUIRE(reply.response.status == entry.status);
            REQUIRE(reply.outcome() == entry.outcome);
            REQUIRE(reply.reason() == entry.reason);
            REQUIRE(reply.field() == entry.field);
            REQUIRE_FALSE(reply.header("Retry-After").empty());
            REQUIRE(fixture.totalRuns() == 0);
        }
    }
}

TEST_CASE("Input that is no request at all is refused")
{
    EntrySettings settings = EntryFixture::defaults();
    settings.readTimeout = std::chrono::milliseconds(200);
    EntryFixture fixture(1, settings);
    const auto talk = [&](const std::string &text) {
        return fixture.send(fixture.connect(fixture.entry->callerPort()), text);
    };
    SECTION("malformed HTTP")
    {
        const Reply reply = talk("GARBAGE\r\n\r\n");
        REQUIRE(reply.response.status == 400);
        REQUIRE(reply.reason() == "bad-request");
        REQUIRE(reply.field() == "message");
    }
    SECTION("a slow sender learns nothing certain of other copies of its request")
    {
        const Reply reply = talk("POST /intake/x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
        REQUIRE(reply.response.status == 503);
        REQUIRE(reply.outcome() == "unknown");
        REQUIRE(reply.field() == "message");
    }
    SECTION("an upgrade")
    {
        const Reply reply
            = talk("GET /intake HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n");
        REQUIRE(reply.response.status == 400);
        REQUIRE(reply.field() == "Upgrade");
    }
    REQUIRE(fixture.totalRuns() == 0);
}

TEST_CASE("An expired id has an unknown outcome")
{
    EntryFixture fixture;
    const Reply reply
        = fixture.send(EntryFixture::request("POST", EntryFixture::newId(std::chrono::hours(25))));
    REQUIRE(reply.outcome() == "unknown");
    REQUIRE(reply.reason() == "record-expired");
    REQUIRE(reply.response.status == 503);
    REQUIRE(fixture.totalRuns() == 0);
}
