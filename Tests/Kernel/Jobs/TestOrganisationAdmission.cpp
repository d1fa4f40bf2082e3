// One organisation that submits far more than its rate, beside ordinary ones, on a full pool.

#include <Kernel/Jobs/AdmissionControl.h>
#include <LibBase/Random.h>
#include <catch2/catch.hpp>

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
            queue().waitingTasks -= started;
            demand.startedTasks["pool"] += started;
            now += step;
            // Processes follow a limit a while after it was set.
            inForce = limits;
            limits = control.update(now, demand);
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

private:
    static constexpr std::chrono::milliseconds step{250};

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
            if (!accepts(organisation))
                continue;
            counts[organisation].accepted += 1;
            queue().waitingTasks += tasksPerJob;
            queue().acceptedTasks += tasksPerJob;
            ++queue().organisations[organisation].acceptedJobs;
        }
    }

    RandomSource m_random{20261204};
};

} // namespace

TEST_CASE("Submissions beyond the rate of their organisation are refused first")
{
    // Guards against one organisation at 7 times its rate that takes the service from the others.
    SharedPool pool;
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
        const auto counts = pool.run(6s, 7.5 * weight, 90);
        CHECK(SharedPool::ordinary(counts).acceptedPart() >= 0.98);
    }
    SECTION("all are reduced when the rates together are more than the pool takes")
    {
        pool.run(6s, largeRate, 60);
        const auto counts = pool.run(20s, largeRate, 60);
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
        pool.run(10s, largeRate, 90);
        pool.control = AdmissionControl(pool.limits);
        pool.queue().acceptedTasks = pool.queue().waitingTasks;
        pool.queue().organisations.clear();
        pool.demand.startedTasks["pool"] = 0;
        const auto counts = pool.run(10s, largeRate, 90);
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

TEST_CASE("What is accepted is divided by the rates")
{
    const std::map<std::string, OrganisationOffer> offers{
        {"a", {10, 10}}, {"b", {70, 10}}, {"c", {40, 20}}};

    SECTION("what is left over goes to those beyond their rates")
    {
        const QueueShares shares = divideShare(0.5, offers);
        CHECK(shares.others == Approx(1));
        CHECK(shares.of("b") * 70 == Approx(50.0 / 3));
        CHECK(shares.of("c") * 40 == Approx(100.0 / 3));
    }
    SECTION("nobody gets more than asked for")
    {
        const QueueShares shares = divideShare(0.9, offers);
        CHECK(shares.of("c") == Approx(1));
        CHECK(shares.of("b") * 70 == Approx(58));
    }
    SECTION("all are reduced in proportion when the rates are too much")
    {
        const QueueShares shares = divideShare(1.0 / 6, offers);
        CHECK(shares.others == Approx(0.5));
        CHECK(shares.of("b") * 70 == Approx(5));
        CHECK(shares.of("c") * 40 == Approx(10));
    }
    SECTION("all have the same share when nobody is beyond its rate")
    {
        const QueueShares shares = divideShare(0.25, {{"a", {10, 10}}, {"d", {5, 5}}});
        CHECK(shares.others == 0.25);
        CHECK(shares.organisations.empty());
    }
}
