#include <Kernel/Request/ClaimSweep.h>
#include <catch2/catch.hpp>
#include <cstdio>

using namespace Peridot;

namespace {

const TimePoint now = fromUnixMilliseconds(1796378400000);

std::string claimKey(const std::string &service, Duration age)
{
    const auto milliseconds = static_cast<unsigned long long>(toUnixMilliseconds(now - age));
    char id[64];
    std::snprintf(id, sizeof id, "%08llx-%04llx-7000-8000-000000000001", milliseconds >> 16,
                  milliseconds & 0xffff);
    return "request/" + service + '/' + id;
}

} // namespace

TEST_CASE("Claim rows are deleted only once their id is refused because of its age")
{
    const auto day = std::chrono::hours(24);
    const auto minute = std::chrono::minutes(1);

    SECTION("a row within the clock margin is kept: another entry process may still accept its id")
    {
        const auto step = planClaimSweep({{claimKey("a", day + minute), 3, "{}"}}, false, now);
        REQUIRE_FALSE(step.deletion);
        REQUIRE(step.startAfter == "request/a/~");
    }
    SECTION("each deletion checks the version that was read, so that a changed row is kept")
    {
        const auto step = planClaimSweep({{claimKey("a", 2 * day), 7, "{}"}}, false, now);
        REQUIRE(step.deletion);
        REQUIRE(step.deletion->checks.size() == 1);
        REQUIRE(step.deletion->checks[0].expected == 7);
        REQUIRE_FALSE(step.deletion->writes[0].value);
        REQUIRE(step.startAfter.empty());
    }
    SECTION("at the first row that has not expired, the sweep skips to the next service")
    {
        const auto step = planClaimSweep({{claimKey("a", 2 * day), 1, "{}"},
                                          {claimKey("a", minute), 2, "{}"},
                                          {claimKey("b", 2 * day), 3, "{}"}},
                                         true, now);
        REQUIRE(step.deletion->writes.size() == 1);
        REQUIRE(step.startAfter == "request/a/~");
    }
    SECTION("after a full page of expired rows, the scan continues after the last row")
    {
        const std::string key = claimKey("a", 2 * day);
        REQUIRE(planClaimSweep({{key, 1, "{}"}}, true, now).startAfter == key);
    }
    SECTION("a row whose key does not end with a request id is kept")
    {
        REQUIRE_FALSE(planClaimSweep({{"request/a/x", 1, "{}"}}, false, now).deletion);
    }
}
