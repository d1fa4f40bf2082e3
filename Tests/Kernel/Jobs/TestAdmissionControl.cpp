#include <Kernel/Jobs/AdmissionControl.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

/// A pool that starts tasks at a steady rate, and callers that respect the limits.
class LoadedPool
{
public:
    LoadedPool()
    {
        demand.queues["steady"] = {"pool", 1, 0, 0, 8s};
        demand.startedTasks["pool"] = 0;
    }

    /// Tasks arrive in the queue and are started for a while.
    void run(Duration duration, double arrivalsPerSecond, double startsPerSecond)
    {
        constexpr std::chrono::milliseconds step{250};
        auto &waiting = demand.queues["steady"].waitingTasks;
        for (Duration passed{0}; passed < duration; passed += step) {
            const double arrived = arrivalsPerSecond * toSeconds(step) * shareInForce;
            waiting += static_cast<std::uint64_t>(arrived);
            demand.queues["steady"].acceptedTasks += static_cast<std::uint64_t>(arrived);
            const auto started
                = std::min(waiting, static_cast<std::uint64_t>(startsPerSecond * toSeconds(step)));
            waiting -= started;
            demand.startedTasks["pool"] += started;
            now += step;
            // Processes follow a limit a while after it was set.
            shareInForce = share();
            limits = control.update(now, demand);
        }
    }
    double share() const
    {
        const auto limit = limits.find("steady");
        return limit == limits.end() ? 1 : limit->second.acceptedPermille / 1000.0;
    }
    Duration expectedWait(double startsPerSecond) const
    {
        const double seconds
            = static_cast<double>(demand.queues.at("steady").waitingTasks) / startsPerSecond;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    TimePoint now{std::chrono::hours(1)};
    SchedulerDemand demand;
    double shareInForce = 1;
    AdmissionControl control;
    AdmissionLimits limits;
};

} // namespace

TEST_CASE("No more jobs are accepted than can be started while they are of use")
{
    // Guards against a backlog that grows as long as the load lasts: jobs were accepted, waited in
    // vain, and were not worked off in time afterwards (LOST).
    LoadedPool pool;

    SECTION("a load that the pool bears is not limited")
    {
        pool.run(10s, 400, 400);
        CHECK(pool.limits.empty());
    }
    SECTION("a burst that the pool works off in time is not limited")
    {
        pool.run(2s, 1000, 400);
        CHECK(pool.limits.empty());
    }
    SECTION("a load of seven times the rate of starts leaves a backlog that is of use")
    {
        pool.demand.schedulerIsBehind = true;
        pool.run(10s, 2800, 400);
        CHECK(pool.expectedWait(400) <= 8s);
        CHECK(pool.share() < 0.5);
        CHECK(pool.limits.at("steady").retryAfter >= 1s);
        pool.run(4s, 2800, 400);
        CHECK(pool.expectedWait(400) <= 8s);
    }
    SECTION("the limits go when the load does")
    {
        pool.run(10s, 2800, 400);
        pool.run(10s, 0, 400);
        CHECK(pool.limits.empty());
    }
    SECTION("a pool is not refused idle")
    {
        // Guards against jobs that are refused while there is room, during a load and after it
        // (RECOVER).
        pool.run(4s, 8000, 400);
        const std::uint64_t started = pool.demand.startedTasks.at("pool");
        pool.run(20s, 8000, 400);
        CHECK(pool.demand.startedTasks.at("pool") - started >= 20 * 400 * 9 / 10);
        pool.run(10s, 300, 400);
        CHECK(pool.share() >= 0.9);
        pool.run(10s, 300, 400);
        CHECK(pool.limits.empty());
    }
    SECTION("the limits of an earlier scheduler are the first estimate")
    {
        // Guards against a flood of jobs after each takeover.
        pool.run(10s, 8000, 400);
        pool.control = AdmissionControl(pool.limits);
        pool.run(3s, 8000, 400);
        CHECK(pool.expectedWait(400) <= 10s);
    }
    SECTION("an outage in which nothing can be started is no reason to refuse jobs")
    {
        pool.run(4s, 300, 400);
        pool.run(4s, 300, 0);
        CHECK(pool.limits.empty());
    }
    SECTION("nor are the few starts at the begin of the outage")
    {
        // Guards against refusals after each outage of the store.
        pool.run(4s, 300, 400);
        pool.run(1s, 300, 20);
        const double share = pool.share();
        pool.demand.startsAreBlocked = true;
        pool.run(4s, 300, 0);
        CHECK(pool.share() == share);
        pool.demand.startsAreBlocked = false;
        pool.run(4s, 300, 1600);
        CHECK(pool.limits.empty());
    }
    SECTION("only the queues that wait behind the backlog are limited")
    {
        pool.demand.queues["urgent"] = {"pool", 0, 10, 0, 8s};
        pool.demand.queues["other"] = {"other-pool", 1, 10, 0, 8s};
        pool.demand.startedTasks["other-pool"] = 0;
        pool.run(10s, 2800, 400);
        CHECK(pool.limits.contains("steady"));
        CHECK_FALSE(pool.limits.contains("urgent"));
        CHECK_FALSE(pool.limits.contains("other"));
    }
}

TEST_CASE("The row of the limits is read as it was written")
{
    const AdmissionLimits limits{{"checks", {20, 7s}}, {"reports", {500, 1s}}};
    const auto parse = [](const std::string &text) {
        return valueOrElse([&] { return parseAdmissionLimits(text); },
                           [](const Error &) {
                               return AdmissionLimits{{"unreadable", {}}};
                           });
    };
    CHECK(parse(encodeAdmissionLimits(limits)) == limits);
    CHECK(parse(R"({"checks": {"accepted_permille": 1001, "retry_after_s": 1}})")
              .contains("unreadable"));
    CHECK(parse("[]").contains("unreadable"));

    SECTION("also the limits of organisations")
    {
        AdmissionLimit limit{500, 1s};
        limit.othersPermille = 1000;
        limit.organisations["large"] = {140, 6s};
        const AdmissionLimits divided{{"checks", limit}};
        CHECK(parse(encodeAdmissionLimits(divided)) == divided);
        CHECK(limit.of("large") == OrganisationLimit{140, 6s});
        CHECK(limit.of("another") == OrganisationLimit{1000, 1s});
    }
    SECTION("while processes of an earlier version run beside this one")
    {
        // Guards against rows that an earlier version takes for malformed, or cannot have written.
        CHECK(encodeAdmissionLimits({{"checks", {20, 7s}}})
              == R"({"checks":{"accepted_permille":20,"retry_after_s":7}})");
        const AdmissionLimits earlier
            = parse(R"({"checks": {"accepted_permille": 250, "retry_after_s": 3}})");
        CHECK(earlier.at("checks").of("large") == OrganisationLimit{250, 3s});
        CHECK(parse(R"({"checks": {"accepted_permille": 20, "retry_after_s": 7, "new": 1}})")
                  .contains("checks"));
    }
    SECTION("but not malformed ones")
    {
        const auto withMember = [&](const std::string &member) {
            return parse(R"({"checks": {"accepted_permille": 1, "retry_after_s": 1, )" + member
                         + "}}")
                .contains("unreadable");
        };
        CHECK(withMember(R"("others_permille": 1001)"));
        CHECK(withMember(R"("organisations": [])"));
        CHECK(withMember(R"("organisations": {"a": {"accepted_permille": 1}})"));
    }
}
