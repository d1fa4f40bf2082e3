#include <LibBase/Json.h>
#include <LibStore/PlatformCodec.h>
#include <StandIns/Platform/Platform.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

PlatformSettings settings()
{
    PlatformSettings result;
    result.workers = {{"worker-1", "rack-1", "dc-1", {32, 128, 0}}};
    return result;
}

struct Fixture
{
    PlatformAnswer call(const std::string &method, const std::string &path,
                        const std::string &body = {})
    {
        std::optional<PlatformAnswer> answer;
        platform.handle(now, {method, path, body, "test"},
                        [&](const PlatformAnswer &result) { answer = result; });
        REQUIRE(answer.has_value());
        return *answer;
    }
    int control(const std::string &body) { return call("POST", "/control", body).status; }

    TimePoint now{1h};
    Platform platform{settings(), now};
};

} // namespace

TEST_CASE("Malformed calls to the platform are refused")
{
    Fixture fixture;
    struct Case
    {
        std::string method;
        std::string path;
        std::string body;
        int status;
    };
    const std::vector<Case> cases{
        {"GET", "/", "", 404},
        {"GET", "/table/commit", "", 404},
        {"POST", "/table/commit", "{", 400},
        {"POST", "/table/commit", "{}", 400},
        {"POST", "/table/scan", R"({"prefix":"","start_after":"","limit":-1})", 400},
        {"GET", "/object/absent", "", 404},
        {"GET", "/workers/absent/report", "", 404},
        {"POST", "/workers/worker-1/command", R"({"kind":"jump"})", 400},
        {"POST", "/control", "{}", 400},
        {"POST", "/control", R"({"action":"fault","call":"commit","fault":"x"})", 400},
        {"POST", "/control", R"({"action":"fault","call":"x","fault":"refuse"})", 400},
        {"POST", "/control", R"({"action":"gone"})", 400},
        {"POST", "/control", R"({"action":"caps","writes_per_second":5})", 400},
        {"POST", "/control", R"({"action":"fail","host":"absent"})", 400},
        {"POST", "/control", R"({"action":"fail"})", 400},
        {"POST", "/control", R"({"action":"job"})", 400},
    };
    for (const auto &entry : cases) {
        DYNAMIC_SECTION(entry.method << " " << entry.path << " " << entry.body)
        {
            REQUIRE(fixture.call(entry.method, entry.path, entry.body).status == entry.status);
        }
    }
}

TEST_CASE("Control calls make the platform fail as told")
{
    Fixture fixture;
    const std::string commit
        = R"({"operation":"o","checks":[],"writes":[{"key":"a","value":"1"}]})";
    const auto commitStatus = [&] {
        return fixture.call("POST", "/table/commit", commit).status;
    };
    SECTION("a counted fault ends after its calls")
    {
        REQUIRE(fixture.control(R"({"action":"fault","call":"commit","fault":"refuse","count":2})")
                == 200);
        REQUIRE(commitStatus() == 503);
        REQUIRE(commitStatus() == 503);
        REQUIRE(commitStatus() == 200);
    }
    SECTION("a platform that is gone answers no call, has no effect, and comes back")
    {
        REQUIRE(fixture.control(R"({"action":"gone","for_ms":1000})") == 200);
        for (const auto *path : {"/hosts", "/object/x", "/workers/worker-1/report"})
            REQUIRE(fixture.call("GET", path).drop);
        REQUIRE(fixture.call("POST", "/table/commit", commit).drop);
        REQUIRE(fixture.call("POST", "/table/read", R"({"keys":["a"]})").drop);
        REQUIRE(fixture.platform.table().snapshot().empty());
        fixture.now += 1s;
        REQUIRE(commitStatus() == 200);
    }
    SECTION("a lost answer of an object write leaves its effect")
    {
        REQUIRE(
            fixture.control(
                R"({"action":"fault","call":"object","fault":"lose-answer-after-effect","count":1})")
            == 200);
        REQUIRE(fixture.call("PUT", "/object/a/b", "text").drop);
        REQUIRE(fixture.call("GET", "/object/a/b").body == "text");
    }
    SECTION("clear ends all faults")
    {
        REQUIRE(fixture.control(R"({"action":"fault","fault":"refuse"})") == 200);
        REQUIRE(commitStatus() == 503);
        REQUIRE(fixture.control(R"({"action":"clear"})") == 200);
        REQUIRE(commitStatus() == 200);
    }
    SECTION("a delayed answer comes with a later tick")
    {
        REQUIRE(fixture.control(
                    R"({"action":"fault","call":"hosts","fault":"delay-answer","delay_ms":20})")
                == 200);
        bool answered = false;
        fixture.platform.handle(fixture.now, {"GET", "/hosts", {}, {}},
                                [&](const PlatformAnswer &) { answered = true; });
        fixture.platform.tick(fixture.now + 19ms);
        REQUIRE_FALSE(answered);
        fixture.platform.tick(fixture.now + 20ms);
        REQUIRE(answered);
    }
    SECTION("calls above a cap are refused with the time to wait, and counted")
    {
        REQUIRE(fixture.control(R"({"action":"caps","writes_per_second":4,"reads_per_second":4})")
                == 200);
        REQUIRE(commitStatus() == 200);
        const auto refused = fixture.call("POST", "/table/commit", commit);
        REQUIRE(refused.status == 503);
        REQUIRE(refused.retryAfter > Duration(0));
        fixture.now += 250ms;
        REQUIRE(commitStatus() == 200);
        const auto statistics = parseJson(fixture.call("GET", "/control/stats").body).value();
        REQUIRE(statistics["clients"]["test"]["writes"].asUInt() == 2);
        REQUIRE(statistics["total"]["refused"].asUInt() == 1);
        REQUIRE(statistics["peak_writes_per_second"].asUInt() == 2);
    }
    SECTION("a failed worker is unreachable until it is restored")
    {
        REQUIRE(fixture.control(R"({"action":"fail","data_centre":"dc-1"})") == 200);
        REQUIRE(fixture.call("GET", "/workers/worker-1/report").status == 502);
        REQUIRE(fixture.control(R"({"action":"restore","rack":"rack-1"})") == 200);
        const auto answer = fixture.call("GET", "/workers/worker-1/report");
        REQUIRE(decodeHostReport(answer.body).value().bootCount == 2);
    }
}

TEST_CASE("The example settings of the platform are valid")
{
    const auto result = loadPlatformSettings(PERIDOT_EXAMPLES "/platform.json");
    REQUIRE(result);
    REQUIRE(result.value().workers.size() == 50);
    REQUIRE(result.value().workers[3].rack == "rack-a1");
    REQUIRE(result.value().workers[4].rack == "rack-a2");
}
