// One organisation that submits far more than its rate, beside ordinary ones, on a full pool.

#include "SchedulerFixture.h"

#include <Kernel/Jobs/AdmissionControl.h>
#include <Kernel/Jobs/OfferedLoad.h>
#include <Kernel/Jobs/OrganisationProfiles.h>
#include <LibBase/Random.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

const std::string large = "large";
constexpr unsigned organisations = 20;
constexpr double weight = 5; ///< jobs per second of each organisation
constexpr double ordinaryRate = 4;
constexpr double largeRate = 35;
constexpr std::uint64_t tasksPerJob = 8;
constexpr unsigned processes = 44;

/// Jobs that an organisation submitted, and those that were accepted.
struct Counts
{
    double offered = 0;
    double accepted = 0;

    double acceptedPart() const { return offered > 0 ? accepted / offered : 1; }
};

/// A pool whose submissions come at random times.
class SharedPool
{
public:
    explicit SharedPool(bool hasOrganisations = true)
    {
        queue().pool = "pool";
        queue().tolerableWait = 4s;
        demand.startedTasks["pool"] = 0;
        for (unsigned number = 0; hasOrganisations && number < organisations; ++number)
            demand.weights[nameOf(number)] = weight;
    }

    static std::string nameOf(unsigned number)
    {
        return number == 0 ? large : "ordinary-" + std::to_string(number);
    }

    /// Runs the pool, which starts \a jobsPerSecond, and returns what was submitted meanwhile.
    std::map<std::string, Counts> run(Duration duration, double largeJobs, double jobsPerSecond)
    {
        std::map<std::string, Counts> counts;
        for (Duration passed{0}; passed < duration; passed += step) {
            for (unsigned number = 0; number < organisations; ++number)
                submit(nameOf(number), number == 0 ? largeJobs : ordinaryRate, counts);
            const auto started
                = std::min(queue().waitingTasks,
                           static_cast<std::uint64_t>(
                               jobsPerSecond * static_cast<double>(tasksPerJob) * toSeconds(step)));
            // Jobs in profile start first.
            const auto inProfile = queue().waitingTasks - queue().outOfProfileTasks;
            queue().outOfProfileTasks -= started - std::min(started, inProfile);
            queue().waitingTasks -= started;
            demand.startedTasks["pool"] += started;
            now += step;
            // Processes follow a limit a while after it was set.
            inForce = limits;
            limits = control.update(now, withReports());
        }
        return counts;
    }

    static Counts ordinary(const std::map<std::string, Counts> &counts)
    {
        Counts sum;
        for (const auto &[name, count] : counts) {
            sum.offered += name == large ? 0 : count.offered;
            sum.accepted += name == large ? 0 : count.accepted;
        }
        return sum;
    }

    QueueBacklog &queue() { return demand.queues["steady"]; }

    TimePoint now{std::chrono::hours(1)};
    SchedulerDemand demand;
    AdmissionLimits inForce;
    AdmissionLimits limits;
    AdmissionControl control;
    OfferedLoad load;
    unsigned reportingProcesses = processes;

private:
    static constexpr std::chrono::milliseconds step{250};

    /// A quarter of the processes reports at each step, while limits are in force.
    SchedulerDemand withReports()
    {
        ++m_steps;
        for (unsigned number = m_steps % 4; !inForce.empty() && number < reportingProcesses;
             number += 4)
            load.report(now, std::to_string(number),
                        {"life", std::int64_t{m_steps} * step.count(), m_counts[number]});
        SchedulerDemand joined = demand;
        if (!joined.weights.empty())
            load.addTo(joined, now);
        return joined;
    }
    bool accepts(const std::string &organisation)
    {
        const auto limit = inForce.find("steady");
        return limit == inForce.end()
               || m_random.below(1000) < limit->second.of(organisation).acceptedPermille;
    }
    void submit(const std::string &organisation, double rate, std::map<std::string, Counts> &counts)
    {
        double time = m_random.exponential(1 / rate);
        for (; time < toSeconds(step); time += m_random.exponential(1 / rate)) {
            counts[organisation].offered += 1;
            const bool accepted = accepts(organisation);
            OfferedCount &count = m_counts[m_random.below(processes)]["steady"][organisation];
            ++count.offered;
            count.refused += accepted ? 0 : 1;
            if (!accepted)
                continue;
            counts[organisation].accepted += 1;
            queue().waitingTasks += tasksPerJob;
            if (!demand.weights.empty()
                && !m_profiles.admit(now, {organisation, {}, 0, weight, {}}))
                queue().outOfProfileTasks += tasksPerJob;
            queue().acceptedTasks += tasksPerJob;
            ++queue().organisations[organisation].acceptedJobs;
        }
    }

    RandomSource m_random{20261204};
    OrganisationProfiles m_profiles;
    std::vector<OfferedCounts> m_counts{processes};
    unsigned m_steps = 0;
};

/// Demand of the queue with the rates that \a load knows.
QueueBacklog joined(const OfferedLoad &load, TimePoint now)
{
    SchedulerDemand demand;
    demand.queues["steady"];
    load.addTo(demand, now);
    return demand.queues["steady"];
}

OfferedReport reportOf(const std::string &instance, std::int64_t milliseconds,
                       std::uint64_t offered, std::uint64_t refused)
{
    return {instance, milliseconds, {{"steady", {{large, {offered, refused}}}}}};
}

} // namespace

TEST_CASE("Submissions beyond the rate of their organisation are refused first")
{
    // Guards against one organisation at 7 times its rate that takes the service from the others.
    SharedPool pool;
    pool.reportingProcesses = GENERATE(44U, 22U, 0U);
    CAPTURE(pool.reportingProcesses);
    pool.run(10s, ordinaryRate, 90);
    CHECK(pool.limits.empty());

    SECTION("the others are refused almost nothing, and the large one gets what is left over")
    {
        pool.run(6s, largeRate, 90);
        const auto counts = pool.run(20s, largeRate, 90);
        const Counts others = SharedPool::ordinary(counts);
        CHECK(others.acceptedPart() >= 0.98);
        const double accepted = counts.at(large).accepted / 20;
        CHECK(accepted >= weight);
        CHECK(accepted + others.accepted / 20 >= 90 * 0.9);
    }
    SECTION("the first seconds of a burst as well")
    {
        pool.queue().tolerableWait = 1s;
        const auto counts = pool.run(6s, 7.5 * weight, 85);
        REQUIRE(pool.limits.contains("steady"));
        CHECK(SharedPool::ordinary(counts).acceptedPart() >= 0.98);
    }
    SECTION("all are reduced when the rates together are more than the pool takes")
    {
        pool.run(6s, largeRate, 60);
        const auto counts = pool.run(20s, largeRate, 60);
        const AdmissionLimit &limit = pool.limits.at("steady");
        const auto waiting = pool.queue().waitingTasks - pool.queue().outOfProfileTasks;
        const double wait = static_cast<double>(waiting) / (60.0 * tasksPerJob);
        CHECK(toSeconds(limit.of("ordinary-1").retryAfter) == Approx(std::ceil(wait)).margin(1));
        // 30 submissions a second have been refused for some seconds, at 5 jobs a second.
        CHECK(limit.of(large).retryAfter == 30s);
        const double others = SharedPool::ordinary(counts).acceptedPart();
        CHECK(others >= 0.6);
        CHECK(others <= 0.85);
        const double accepted = counts.at(large).accepted / 20;
        CHECK(accepted >= weight * 0.6);
        CHECK(accepted <= weight);
    }
    SECTION("the limits go when the load does")
    {
        pool.run(6s, largeRate, 90);
        pool.run(15s, ordinaryRate, 90);
        CHECK(pool.limits.empty());
    }
    SECTION("a successor continues with the limits in force")
    {
        // Guards against seconds in which all are refused alike, or nobody, after each takeover.
        pool.run(15s, largeRate, 84);
        REQUIRE(pool.limits.at("steady").organisations.contains(large));
        pool.control = AdmissionControl(pool.limits);
        pool.load = {};
        // It counts the jobs that wait.
        pool.queue().acceptedTasks = pool.queue().waitingTasks;
        pool.queue().organisations = {{large, {pool.queue().waitingTasks / tasksPerJob}}};
        pool.demand.startedTasks["pool"] = 0;
        const auto counts = pool.run(10s, largeRate, 84);
        CHECK(SharedPool::ordinary(counts).acceptedPart() >= 0.98);
        CHECK(counts.at(large).accepted / 10 >= weight);
        CHECK(counts.at(large).acceptedPart() <= 0.8);
    }
}

TEST_CASE("Without organisations, all submissions to a queue have one share")
{
    SharedPool pool(false);
    pool.run(10s, largeRate, 60);
    REQUIRE(pool.limits.contains("steady"));
    CHECK_FALSE(pool.limits.at("steady").othersPermille);
    CHECK(pool.limits.at("steady").organisations.empty());
}

TEST_CASE("The reports of the processes show what is submitted to all of them")
{
    const TimePoint now{std::chrono::hours(1)};
    OfferedLoad load;
    load.report(now, "a", reportOf("a-1", 5000, 100, 10));
    load.report(now, "b", reportOf("b-1", 90000, 40, 0));
    CHECK(joined(load, now).organisations.empty());
    load.report(now + 1s, "a", reportOf("a-1", 6000, 120, 25));
    load.report(now + 1s, "b", reportOf("b-1", 92000, 60, 0));
    const OrganisationBacklog both = joined(load, now + 1s).organisations[large];
    CHECK(both.reportedOffered == Approx(30));
    CHECK(both.reportedAccepted == Approx(15));

    SECTION("old reports count nothing")
    {
        // Guards against a host that is lost or frozen and counts for ever.
        load.report(now + 3s, "b", reportOf("b-1", 94000, 80, 0));
        CHECK(joined(load, now + 5s).organisations[large].reportedOffered == Approx(10));
        CHECK(joined(load, now + 10s).organisations.empty());
    }
    SECTION("a process that restarts begins anew")
    {
        load.report(now + 2s, "a", reportOf("a-2", 100, 1000, 0));
        CHECK(joined(load, now + 2s).organisations[large].reportedOffered == Approx(10));
        load.report(now + 3s, "a", reportOf("a-2", 1100, 1007, 0));
        CHECK(joined(load, now + 3s).organisations[large].reportedOffered == Approx(17));
    }
    SECTION("so does one that has not reported for long")
    {
        load.report(now + 60s, "a", reportOf("a-1", 66000, 5000, 25));
        CHECK(joined(load, now + 60s).organisations.empty());
    }
    SECTION("a report that comes twice, or late, changes nothing")
    {
        load.report(now + 2s, "a", reportOf("a-1", 6000, 120, 25));
        load.report(now + 2s, "a", reportOf("a-1", 5500, 110, 20));
        CHECK(joined(load, now + 2s).organisations[large].reportedOffered == Approx(30));
    }
    SECTION("a host that was removed counts nothing")
    {
        load.remove("a");
        CHECK(joined(load, now + 1s).organisations[large].reportedOffered == Approx(10));
    }
}

TEST_CASE("Reports count before the estimate from the accepted jobs")
{
    const QueueShares inForce{0.5, 0.5};
    OrganisationArrivals arrivals;
    const auto add = [&](double reportedOffered, double reportedAccepted) {
        for (std::uint64_t second = 0; second < 40; ++second)
            arrivals.add(1s, {{large, {20 * second, reportedOffered, reportedAccepted}}}, inForce);
        return arrivals.totalOffered();
    };

    SECTION("all processes report")
    {
        // Guards against limits that follow a wrong share, as processes that heard nothing apply
        // none.
        CHECK(add(25, 20) == Approx(25));
    }
    SECTION("what processes without a report accept is estimated")
    {
        CHECK(add(20, 10) == Approx(40).epsilon(0.01));
    }
    SECTION("refused submissions are told when they could be served")
    {
        // Guards against a Retry-After that is the wait of the queue only: all submissions beyond
        // the rate of an organisation come back at once, and are refused again.
        const QueueShares limited{0.6, 1, {{large, 1.0 / 7}}};
        for (std::uint64_t second = 0; second < 40; ++second)
            arrivals.add(1s, {{large, {5 * second}}}, limited);
        CHECK(arrivals.retryAfter(large) == 0);
        for (int update = 0; update < 8; ++update)
            arrivals.countRefusals(250ms, limited);
        // 60 refused submissions at 5 jobs a second.
        CHECK(arrivals.retryAfter(large) == Approx(12).epsilon(0.01));
        arrivals.countRefusals(250ms, inForce);
        CHECK(arrivals.retryAfter(large) == 0);
    }
    SECTION("nobody reports")
    {
        CHECK(add(0, 0) == Approx(40).epsilon(0.01));
    }
}

TEST_CASE("The row of a report is read as it was written")
{
    const auto parse = [](const std::string &text) {
        return valueOrElse([&] { return parseOfferedReport(text); },
                           [](const Error &) {
                               return OfferedReport{"unreadable", 0, {}};
                           });
    };
    OfferedReport report = reportOf("a-1", 5000, 100, 10);
    report.counts["steady"][""] = {7, 0};
    CHECK(parse(encodeOfferedReport(report)) == report);
    for (
        const char *text :
        {"[]", "{}", R"({"instance": "a", "at_ms": 1, "queues": []})",
         R"({"instance": "a", "at_ms": 1, "queues": {"q": 1}})",
         R"({"instance": "a", "at_ms": 1, "queues": {"q": {"o": {"offered": -1, "refused": 0}}}})",
         R"({"instance": "a", "at_ms": 1, "queues": {"q": {"o": {"offered": 1, "refused": 2}}}})"}) {
        CAPTURE(text);
        CHECK(parse(text).instance == "unreadable");
    }
}

TEST_CASE("The scheduler tells what organisations submitted, and what waits beyond their rates")
{
    // Guards against limits that follow from counts that nobody takes.
    Test::SchedulerFixture fixture;
    JobConfiguration configuration;
    configuration.queues = {fixture.queue};
    configuration.pools = {{"pool", false}};
    configuration.organisations = {{"north", {}, 0, 2}, {"south", {}}};
    const auto queue = [&] {
        fixture.scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
        fixture.scheduler.setWorkers(fixture.now, {Test::SchedulerFixture::worker("a")});
        for (unsigned number = 0; number < 6; ++number) {
            SubmittedJob job;
            job.id = std::to_string(number);
            job.organisation = number == 0 ? "south" : "north";
            job.queue = fixture.queue;
            job.specification.steps = {Test::SchedulerFixture::stepOf(2)};
            fixture.scheduler.addJob(fixture.now, job, std::nullopt, absentVersion);
        }
        fixture.scheduler.plan(fixture.now);
        return fixture.scheduler.demand(fixture.now).queues.at("queue");
    };

    SECTION("with a weight of 2 jobs a second, 3 of 5 jobs at once are beyond it")
    {
        QueueBacklog backlog = queue();
        CHECK(backlog.outOfProfileTasks == 6);
        CHECK(backlog.organisations["north"].acceptedJobs == 5);
        CHECK(backlog.organisations["south"].acceptedJobs == 1);
    }
    SECTION("without weights, nothing of it")
    {
        configuration.organisations = {{"north", {}}, {"south", {}}};
        CHECK(queue().outOfProfileTasks == 0);
        CHECK(queue().organisations.empty());
    }
}

TEST_CASE("What is accepted is divided by the rates")
{
    const std::map<std::string, OrganisationOffer> offers{
        {"a", {10, 10}}, {"b", {70, 10}}, {"c", {40, 20}}};

    SECTION("what is left over goes to those beyond their rates")
    {
        const QueueShares shares = divideShare(0.5, 0, offers);
        CHECK(shares.others == Approx(1));
        CHECK(shares.of("b") * 70 == Approx(50.0 / 3));
        CHECK(shares.of("c") * 40 == Approx(100.0 / 3));
    }
    SECTION("nobody gets more than asked for")
    {
        const QueueShares shares = divideShare(0.9, 0, offers);
        CHECK(shares.of("c") == Approx(1));
        CHECK(shares.of("b") * 70 == Approx(58));
    }
    SECTION("all are reduced in proportion when the rates are too much")
    {
        const QueueShares shares = divideShare(1.0 / 6, 0, offers);
        CHECK(shares.others == Approx(0.5));
        CHECK(shares.of("b") * 70 == Approx(5));
        CHECK(shares.of("c") * 40 == Approx(10));
    }
    SECTION("but not when jobs beyond the rates are all that waits")
    {
        // Guards against refusals because of a backlog that delays only those who caused it.
        const QueueShares shares = divideShare(1.0 / 6, 1.0 / 4, offers);
        CHECK(shares.others == Approx(0.75));
        CHECK(shares.of("b") * 70 == Approx(7.5));
        CHECK(divideShare(0.25, 2, {{"a", {10, 10}}}).all == 1);
    }
    SECTION("all have the same share when nobody is beyond its rate")
    {
        const QueueShares shares = divideShare(0.25, 0, {{"a", {10, 10}}, {"d", {5, 5}}});
        CHECK(shares.others == 0.25);
        CHECK(shares.organisations.empty());
    }
}
