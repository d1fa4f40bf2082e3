#include <JobCallCodec.h>
#include <PlatformConfiguration.h>
#include <PlatformHosts.h>
#include <PlatformWorkers.h>
#include <WorkerRegistration.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *configurationText = R"({"version":7,"routes":[
    {"name":"r-1","hostname":"a.example","prefix":"/p/","type":"non_idempotent","timeout_ms":3000,
     "slo_ms":600,"priority":1,"backend":"pool","max_attempts":2,"stretch":1.6},
    {"name":"r-2","hostname":"a.example","prefix":"/p/q/","slo_ms":2500,"backend":"pool"},
    {"name":"broken"}],
    "services":[{"name":"pool","rejects_overload":true},{"name":"rest","standby":true}]})";

constexpr const char *workerText = R"({"backend":"pool","address":"10.0.0.9:8080","zone":"z",
    "state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpus":1},"labels":["a","r1-3"],
    "clock_ms":5,"seq":4,"born":1700000000000})";

std::optional<Jobs::WorkerDescription> decodeWorker(const Row &row)
{
    return WorkerDecoder([](const std::string &, const Error &) {}).decode(row);
}

RequestMessage makeRequest(const std::string &method, const std::string &target,
                           const std::string &body = {})
{
    return {0, method, target, {{"Host", "a.example:80"}, {"Deadline", "1500"}}, body};
}

} // namespace

TEST_CASE("Decoding the configuration leaves out queues with missing members")
{
    const auto configuration = decodeConfiguration({"op/config", 3, configurationText});
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    REQUIRE(configuration->queues.size() == 2);
    CHECK(configuration->queues[0].latencyAllowance == Duration(600ms));
    CHECK(configuration->queues[0].maximumAttempts == 2);
    CHECK(configuration->pool("rest")->spare);
    CHECK_FALSE(configuration->pool("pool")->spare);
    SECTION("A path is routed to the queue with the longest matching prefix")
    {
        CHECK(configuration->route("a.example", "/p/0123456789abcdef")->name == "r-1");
        CHECK(configuration->route("a.example", "/p/q/x")->name == "r-2");
        CHECK(configuration->route("b.example", "/p/x") == nullptr);
    }
    SECTION("Other rows and malformed configuration rows are rejected")
    {
        CHECK_FALSE(decodeConfiguration({"op/other", 3, configurationText}));
        for (const char *text :
             {"", "x", "[]", "{}", R"({"version":"7","routes":[],"services":[]})"})
            CHECK_FALSE(decodeConfiguration({"op/config", 4, text}));
    }
}

TEST_CASE("A malformed registration row is not decoded as a worker")
{
    const auto worker = decodeWorker({"servers/i-1", 1, workerText});
    REQUIRE(worker);
    CHECK(worker->id == "i-1");
    CHECK(worker->port == 8080);
    CHECK(worker->capacity == Jobs::TaskSize{16000, 32768, 1});
    CHECK(worker->startedAt == 1700000000000);
    const std::string original = workerText;
    const auto decodeReplacing = [&](const std::string &from, const std::string &to) {
        std::string changed = original;
        changed.replace(changed.find(from), from.size(), to);
        return decodeWorker({"servers/i-1", 1, changed});
    };
    CHECK(decodeReplacing("\"ready\"", "\"draining\"")->draining);
    CHECK_FALSE(decodeReplacing("\"ready\"", "\"asleep\""));
    CHECK_FALSE(decodeReplacing("\"ready\"", "5"));
    CHECK_FALSE(decodeReplacing("16000", "\"16000\""));
    CHECK_FALSE(decodeReplacing("16000", "-1"));
    CHECK_FALSE(decodeReplacing("10.0.0.9:8080", "10.0.0.9"));
    CHECK_FALSE(decodeReplacing("10.0.0.9:8080", "10.0.0.9:x"));
    CHECK_FALSE(decodeWorker({"servers/i-1", 1, std::string("\xff\xfe{", 3)}));
}

TEST_CASE("Invalid requests of callers are rejected with a specific outcome")
{
    const auto configuration = decodeConfiguration({"op/config", 3, configurationText});
    const auto outcomeOf = [&](const RequestMessage &message) {
        const auto decoded = decodeCall(message, *configuration);
        const auto *refusal = std::get_if<Jobs::CallAnswer>(&decoded);
        return refusal == nullptr ? Jobs::CallOutcome::Accepted : refusal->outcome;
    };
    using enum Jobs::CallOutcome;
    const std::string path = "/p/0123456789abcdef";
    CHECK(outcomeOf(makeRequest("POST", path, R"({"spec":"x","steps":[{"count":1,"cpu":500}]})"))
          == Accepted);
    CHECK(outcomeOf(makeRequest("GET", path)) == Accepted);
    CHECK(outcomeOf(makeRequest("DELETE", path)) == Accepted);
    CHECK(outcomeOf(makeRequest("GET", "/p/")) == Accepted);
    CHECK(outcomeOf(makeRequest("GET", "/unknown/")) == UnknownQueue);
    CHECK(outcomeOf(makeRequest("GET", "/p/0123")) == InvalidInput);
    CHECK(outcomeOf(makeRequest("PATCH", path)) == InvalidInput);
    CHECK(outcomeOf(makeRequest("POST", "/p/", "{}")) == InvalidInput);
    for (const char *body :
         {"", "no json", "[]", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
          R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1.5}]})",
          R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1,"after":"x"}]})",
          R"({"steps":[{"count":1,"gang":1}]})", R"({"steps":[{"count":1,"cpu":"x"}]})"})
        CHECK(outcomeOf(makeRequest("POST", path, body)) == InvalidInput);
    CHECK(outcomeOf(makeRequest("POST", path, R"({"steps":[{"count":1000000}]})")) == TooLarge);
    const std::string longPayloadBody
        = R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{"count":1}]})";
    CHECK(outcomeOf(makeRequest("POST", path, longPayloadBody)) == TooLarge);
    // Guards against short members that take many times their bytes when they are parsed.
    std::string manyMembers = R"({"steps":[{"count":1}])";
    for (int index = 0; index < 20000; ++index)
        manyMembers += ",\"" + std::to_string(index) + "\":0";
    CHECK(outcomeOf(makeRequest("POST", path, manyMembers + '}')) == TooLarge);
    std::string largestSteps = R"({"steps":[{"count":1})";
    for (int step = 1; step < 100; ++step) {
        largestSteps
            += R"(,{"count":1,"cpu":1,"mem_mb":1,"gpus":0,"image":"i","gang":false,"after":[0)";
        for (int dependency = 1; dependency < step; ++dependency)
            largestSteps += ',' + std::to_string(dependency);
        largestSteps += "]}";
    }
    largestSteps += R"(],"spec":")" + std::string(3999, ',') + "\"}";
    CHECK(outcomeOf(makeRequest("POST", path, largestSteps)) == Accepted);
    const auto call = std::get<Jobs::JobCall>(decodeCall(makeRequest("GET", path), *configuration));
    CHECK(call.timeout == 1500ms);
    CHECK(call.id == "0123456789abcdef");
}

TEST_CASE("Answers are encoded as HTTP status, headers and body")
{
    const auto httpStatusOf = [](const Jobs::CallAnswer &answer) {
        return encodeAnswer(answer).status;
    };
    using enum Jobs::CallOutcome;
    CHECK(httpStatusOf({.outcome = Accepted}) == 200);
    CHECK(httpStatusOf({.outcome = Unavailable}) == 503);
    CHECK(httpStatusOf({.outcome = Undetermined}) == 504);
    CHECK(httpStatusOf({.outcome = UnknownJob}) == 410);
    const auto refusal = encodeAnswer({.outcome = Unavailable, .retryAfter = 1s});
    CHECK(*findHeader(refusal.headers, "Retry-After") == "1");
    CHECK(encodeAnswer({.outcome = Found, .phase = Jobs::JobPhase::Running}).body
          == R"({"state":"running"})");
}

TEST_CASE("Maintenance waves are decoded, and their status is encoded")
{
    const auto wave = decodeWave(
        {"op/wave/3", 1, R"({"wave":3,"machines":["m-1","m-2"],"period_s":20,"cap":2})"});
    REQUIRE(wave);
    CHECK(wave->number == 3);
    CHECK(wave->hosts.size() == 2);
    CHECK(wave->period == Duration(20s));
    CHECK(wave->maximumConcurrent == 2);
    CHECK_FALSE(decodeWave({"op/config", 1, "{}"}));
    CHECK_FALSE(decodeWave({"op/wave/4", 1, "{}"}));
    CHECK(encodeWaveStatus(3, true).value == R"({"state":"completed"})");
}
