#include "Measurement.h"
#include "Quantile.h"

#include <Kernel/Jobs/JobScheduler.h>
#include <LibBase/Random.h>
#include <ctime>
#include <fmt/core.h>
#include <functional>

namespace Peridot {

namespace {

using namespace Jobs;

constexpr std::uint64_t seed = 11;
constexpr unsigned waitingJobs = 10'000;
constexpr unsigned organisations = 100;
constexpr unsigned workers = 350;
constexpr unsigned passes = 200;
constexpr std::chrono::milliseconds passInterval{20};
constexpr std::chrono::seconds arrivalPeriod{4}; ///< of the jobs, which a peak of the load lasts
constexpr TaskSize workerCapacity{32'000, 131'072, 0};
constexpr std::chrono::milliseconds taskRuntime{600};
constexpr double stretch = 1.6;
constexpr const char *requiredLabel = "ready";
constexpr std::chrono::milliseconds latencyAllowance{600};

/// Processor time of each call of \a step, in milliseconds, without that of \a prepare before it.
std::vector<double> durationsOf(
    const std::function<void()> &step, const std::function<void()> &prepare = [] {})
{
    const auto processorTime = [] {
        timespec time{};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
    };
    std::vector<double> durations;
    for (unsigned pass = 0; pass < passes; ++pass) {
        prepare();
        const double before = processorTime();
        step();
        durations.push_back(processorTime() - before);
    }
    return durations;
}

void print(const std::string &decision, unsigned pools, const std::vector<double> &durations)
{
    fmt::print("measure=start-order decision={} pools={} waiting_jobs={} organisations={} "
               "median_ms={:.3f} p95_ms={:.3f} max_ms={:.3f}\n",
               decision, pools, waitingJobs, organisations, quantile(durations, 0.5),
               quantile(durations, 0.95), quantile(durations, 1));
}

/// sortForStart() alone, for one pool that is asked for far more than it holds.
void measureSort()
{
    RandomSource random(seed);
    TimePoint now{std::chrono::hours(1)};
    std::vector<WaitingJob> jobs(waitingJobs);
    for (WaitingJob &job : jobs) {
        job.isInProfile = random.below(2) == 0;
        job.weightedShare = job.isInProfile ? 0 : random.unit();
        job.waitingSince
            = now - arrivalPeriod + arrivalPeriod * random.below(waitingJobs) / waitingJobs;
        job.latestStart = job.waitingSince + latencyAllowance * (1 + random.below(4));
        job.latestUsefulStart = job.latestStart + 3 * latencyAllowance;
        job.poolTime = std::chrono::microseconds(100 + random.below(2000));
    }
    std::vector<WaitingJob> order;
    const auto sort = [&] {
        sortForStart(now, std::chrono::milliseconds(300), order);
    };
    const auto prepare = [&] {
        order = jobs;
        now += passInterval;
    };
    print("sort", 1, durationsOf(sort, prepare));
}

/// A scheduler whose workers are full, so that no pass starts anything. With \a idleWorkers, each
/// pool has one more, which lacks the label that all tasks require. Then a pass decides on the
/// whole order.
class FullFleet
{
public:
    FullFleet(unsigned pools, bool idleWorkers);

    void plan() { m_scheduler.plan(m_now += passInterval); }

private:
    static SchedulerHooks hooks();
    void configure(unsigned pools);
    void addWorkers(unsigned pools, unsigned idle);
    void fill(unsigned pools);
    void submit(unsigned number, unsigned pool, unsigned tasks);

    TimePoint m_now{std::chrono::hours(1)};
    RandomSource m_random{seed};
    JobConfiguration m_configuration;
    JobScheduler m_scheduler;
};

FullFleet::FullFleet(unsigned pools, bool idleWorkers)
    : m_scheduler(1, 1, SchedulerTiming{}, hooks(), m_now)
{
    configure(pools);
    addWorkers(pools, idleWorkers ? pools : 0);
    fill(pools);
    for (unsigned number = 0; number < waitingJobs; ++number) {
        m_now += std::chrono::duration_cast<Duration>(arrivalPeriod) / waitingJobs;
        submit(number, number % pools, 8);
    }
    plan();
}

SchedulerHooks FullFleet::hooks()
{
    SchedulerHooks hooks;
    hooks.orders.start = [](const StartOrder &) {
    };
    hooks.orders.stop = [](const StopOrder &) {
    };
    hooks.orders.throttle = [](const ThrottleOrder &) {
    };
    hooks.orders.poll = [](const PollOrder &) {
    };
    return hooks;
}

void FullFleet::configure(unsigned pools)
{
    for (unsigned pool = 0; pool < pools; ++pool) {
        const std::string name = fmt::format("pool-{}", pool);
        m_configuration.pools.push_back({name, false});
        QueueSettings queue;
        queue.name = fmt::format("queue-{}", pool);
        queue.pool = name;
        queue.stretch = stretch;
        queue.latencyAllowance = latencyAllowance;
        m_configuration.queues.push_back(queue);
    }
    for (unsigned index = 0; index < organisations; ++index)
        m_configuration.organisations.push_back(
            {fmt::format("organisation-{}", index), {}, 0, 10, {4'000'000, 0, 0}});
    m_scheduler.setConfiguration(std::make_shared<JobConfiguration>(m_configuration));
}

void FullFleet::addWorkers(unsigned pools, unsigned idle)
{
    std::vector<WorkerDescription> descriptions;
    for (unsigned index = 0; index < workers + idle; ++index) {
        WorkerDescription worker;
        worker.id = fmt::format("worker-{}", index);
        worker.address = "address";
        worker.pool = m_configuration.pools[index % pools].name;
        worker.capacity = workerCapacity;
        if (index < workers)
            worker.labels = {requiredLabel};
        worker.startedAt = 1;
        descriptions.push_back(worker);
    }
    m_scheduler.setWorkers(m_now, descriptions);
    for (const WorkerDescription &worker : descriptions) {
        PollOrder order;
        order.worker = worker.id;
        order.incarnation = worker.startedAt;
        order.sentAt = m_now;
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = 1;
        reply.startedAt = worker.startedAt;
        m_scheduler.pollFinished(m_now, order, reply);
    }
}

void FullFleet::fill(unsigned pools)
{
    for (unsigned index = 0; index < workers; ++index)
        submit(waitingJobs + index, index % pools, 32);
    while (!m_scheduler.plan(m_now)) { }
}

void FullFleet::submit(unsigned number, unsigned pool, unsigned tasks)
{
    SubmittedJob job;
    job.id = fmt::format("{:016x}", number);
    job.acceptedAt = m_now;
    job.queue = m_configuration.queues[pool];
    job.organisation = m_configuration.organisations[m_random.below(organisations)].name;
    StepSpecification step;
    step.count = tasks;
    step.size = {1000, 1000, 0};
    step.estimatedRuntime = taskRuntime;
    step.requiredLabel = requiredLabel;
    StepSpecification second = step;
    second.after = {0};
    job.specification.steps = {step, second};
    m_scheduler.addJob(m_now, job, std::nullopt, absentVersion);
}

/// Time in which the scheduler decides on the order of the starts of many waiting jobs. The aim is
/// less than 2 ms for a decision.
class StartOrderMeasurement final : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override;
};

int StartOrderMeasurement::run(const std::vector<std::string> &)
{
    measureSort();
    for (const unsigned pools : {1U, 5U}) {
        for (const bool idleWorkers : {false, true}) {
            FullFleet fleet(pools, idleWorkers);
            print(idleWorkers ? "order" : "no-room", pools,
                  durationsOf([&fleet] { fleet.plan(); }));
        }
    }
    return 0;
}

const PluginRegistrar<MeasurementRegistry> startOrder("start-order", [] {
    return std::make_unique<StartOrderMeasurement>();
});

} // namespace

} // namespace Peridot
