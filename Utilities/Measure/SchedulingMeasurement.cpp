#include "Measurement.h"
#include "ProcessUsage.h"

#include <Kernel/Jobs/JobScheduler.h>
#include <LibBase/Random.h>
#include <Services/Jobs/PlanPause.h>
#include <fmt/core.h>
#include <unistd.h>
#include <utility>

namespace Peridot {

namespace {

using namespace Jobs;

constexpr std::uint64_t seed = 5;
constexpr unsigned pools = 5;
constexpr std::chrono::milliseconds orderDelay{5}; ///< there and back
constexpr std::chrono::milliseconds commitDelay{12};
constexpr std::chrono::milliseconds tickPeriod{50};
constexpr std::chrono::milliseconds planPause{2}; ///< events within it share one planning pass
constexpr double coreShare = 0.25; ///< of a small host
constexpr std::chrono::seconds simulated{20};
constexpr std::int64_t hostProcessors = 32;
constexpr unsigned tasksPerStep = 8;
constexpr std::chrono::milliseconds taskRuntime{800};
constexpr std::int64_t taskMilliProcessors = 3000;
constexpr std::int64_t taskMegabytes = 10'000;

struct Scenario
{
    unsigned workers = 0;
    double jobsPerSecond = 0;
    unsigned loadedPools = pools; ///< number of pools that get jobs
    double sizeSpread = 0; ///< of the sizes of tasks, as a part of their mean
    bool smallHost
        = false; ///< the pause after a planning pass is that of the job service with coreShare
};

/// A scheduler with workers that carry out every order, on a fake clock.
class SchedulingModel
{
public:
    explicit SchedulingModel(const Scenario &scenario);

    void run();
    std::uint64_t startedTasks() const { return m_started; }
    std::uint64_t events() const { return m_handled; }
    std::uint64_t finishedJobs() const { return m_finished; }

private:
    struct SimulatedWorker
    {
        std::map<RunName, TimePoint> active; ///< with the end of each run
        std::vector<EndedRun> ended;
        std::uint64_t ends = 0;
        std::optional<PollOrder> waiting;
    };

    void at(TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }
    SchedulerHooks hooks();
    void submit();
    TaskSize randomSize();
    void drive();
    void driveSoon();
    void start(const StartOrder &order);
    void endRun(const std::string &worker, const RunName &run);
    void poll(const PollOrder &order);
    void answerPoll(const std::string &worker);

    RandomSource m_random{seed};
    Scenario m_scenario;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, SimulatedWorker> m_workers;
    std::unique_ptr<JobScheduler> m_scheduler;
    JobConfiguration m_configuration;
    bool m_drivePlanned = false;
    TimePoint m_nextDriveAt;
    std::uint64_t m_jobCount = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_handled = 0;
    std::uint64_t m_finished = 0;
};

SchedulingModel::SchedulingModel(const Scenario &scenario) : m_scenario(scenario)
{
    for (unsigned pool = 0; pool < pools; ++pool) {
        const std::string name = "pool-" + std::to_string(pool);
        m_configuration.pools.push_back({name, false});
        QueueSettings queue;
        queue.name = "queue-" + std::to_string(pool);
        queue.pool = name;
        queue.maximumAttempts = 3;
        m_configuration.queues.push_back(queue);
    }
    m_scheduler = std::make_unique<JobScheduler>(1, 1, SchedulerTiming{}, hooks(), m_now);
    m_scheduler->setConfiguration(std::make_shared<JobConfiguration>(m_configuration));
    std::vector<WorkerDescription> descriptions;
    for (unsigned index = 0; index < scenario.workers; ++index) {
        WorkerDescription worker;
        worker.id = "worker-" + std::to_string(index);
        worker.address = "address";
        worker.pool = m_configuration.pools[index % pools].name;
        worker.capacity = {hostProcessors * 1000, 131072, 0};
        worker.labels = {"rack-" + std::to_string(index / 8)};
        worker.startedAt = 1;
        descriptions.push_back(worker);
        m_workers[worker.id];
    }
    m_scheduler->setWorkers(m_now, descriptions);
}

SchedulerHooks SchedulingModel::hooks()
{
    SchedulerHooks hooks;
    hooks.orders.start = [this](const StartOrder &order) {
        at(m_now + orderDelay, [this, order] { start(order); });
    };
    hooks.orders.stop = [this](const StopOrder &order) {
        at(m_now + orderDelay, [this, order] {
            m_scheduler->stopFinished(m_now, order, {OrderOutcome::Accepted, 1});
            driveSoon();
        });
    };
    hooks.orders.throttle = [](const ThrottleOrder &) {
    };
    hooks.orders.poll = [this](const PollOrder &order) {
        at(m_now + orderDelay, [this, order] { poll(order); });
    };
    hooks.observe = [this](const SchedulerEvent &event) {
        if (event.kind == "job-finished")
            ++m_finished;
    };
    return hooks;
}

void SchedulingModel::submit()
{
    SubmittedJob job;
    job.id = fmt::format("{:016x}", ++m_jobCount);
    job.queue = m_configuration.queues[m_random.below(m_scenario.loadedPools)];
    StepSpecification step;
    step.count = tasksPerStep;
    step.size = randomSize();
    step.estimatedRuntime = taskRuntime;
    job.specification.steps = {step};
    m_scheduler->addJob(m_now, job, std::nullopt, absentVersion);
    driveSoon();
    const auto pause
        = std::chrono::duration<double>(m_random.exponential(1 / m_scenario.jobsPerSecond));
    at(m_now + std::chrono::duration_cast<Duration>(pause), [this] { submit(); });
}

TaskSize SchedulingModel::randomSize()
{
    const auto vary = [this](std::int64_t mean) {
        const double factor = 1 + m_scenario.sizeSpread * (2 * m_random.unit() - 1);
        return static_cast<std::int64_t>(static_cast<double>(mean) * factor);
    };
    const std::int64_t milliProcessors = vary(taskMilliProcessors);
    return {milliProcessors, vary(taskMegabytes), 0};
}

void SchedulingModel::driveSoon()
{
    if (std::exchange(m_drivePlanned, true))
        return;
    at(m_scenario.smallHost ? std::max(m_now, m_nextDriveAt) : m_now + planPause,
       [this] { drive(); });
}

void SchedulingModel::drive()
{
    m_drivePlanned = false;
    const auto begin = std::chrono::steady_clock::now();
    m_scheduler->plan(m_now);
    const auto used = std::chrono::steady_clock::now() - begin;
    const auto pass = std::chrono::duration_cast<Duration>(used / coreShare);
    m_nextDriveAt = m_now + pass + planPauseAfter(pass);
    if (!m_scheduler->takeTransaction(m_now))
        return;
    at(m_now + commitDelay, [this] {
        CommitResult result;
        result.status = CommitStatus::Committed;
        result.revision = m_handled + 1;
        m_scheduler->transactionFinished(m_now, result);
        driveSoon();
    });
}

void SchedulingModel::start(const StartOrder &order)
{
    ++m_started;
    m_workers[order.worker].active[order.run] = m_now + taskRuntime;
    m_scheduler->startFinished(m_now, order, {OrderOutcome::Accepted, 1});
    driveSoon();
    at(m_now + taskRuntime, [this, order] { endRun(order.worker, order.run); });
}

void SchedulingModel::endRun(const std::string &id, const RunName &run)
{
    SimulatedWorker &worker = m_workers[id];
    worker.active.erase(run);
    worker.ended.push_back({++worker.ends, run, RunOutcome::Done, {}});
    answerPoll(id);
}

void SchedulingModel::poll(const PollOrder &order)
{
    SimulatedWorker &worker = m_workers[order.worker];
    std::erase_if(worker.ended,
                  [&](const EndedRun &end) { return end.number <= order.acknowledgedEnds; });
    worker.waiting = order;
    if (!worker.ended.empty() || order.wait.count() == 0)
        return answerPoll(order.worker);
    const TimePoint until = m_now + order.wait;
    at(until, [this, id = order.worker, sentAt = order.sentAt] {
        if (m_workers[id].waiting && m_workers[id].waiting->sentAt == sentAt)
            answerPoll(id);
    });
}

void SchedulingModel::answerPoll(const std::string &id)
{
    SimulatedWorker &worker = m_workers[id];
    if (!worker.waiting)
        return;
    const PollOrder order = *std::exchange(worker.waiting, std::nullopt);
    PollReply reply;
    reply.outcome = OrderOutcome::Accepted;
    reply.clock = 1;
    reply.startedAt = 1;
    reply.ended = worker.ended;
    for (const auto &[run, end] : worker.active)
        reply.active.push_back({run, {}, 50, std::nullopt});
    m_scheduler->pollFinished(m_now, order, reply);
    driveSoon();
}

void SchedulingModel::run()
{
    at(m_now, [this] { submit(); });
    const TimePoint end = m_now + simulated;
    for (TimePoint time = m_now; time < end; time += tickPeriod)
        at(time, [this] { driveSoon(); });
    while (!m_events.empty() && m_events.begin()->first < end) {
        const auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        ++m_handled;
        next.mapped()();
    }
}

/// Processor time of the scheduler by numbers of workers and jobs, and while more jobs arrive in a
/// pool than it has room for.
class SchedulingMeasurement final : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override;
};

int SchedulingMeasurement::run(const std::vector<std::string> &arguments)
{
    const std::string self = std::to_string(getpid());
    std::vector<Scenario> scenarios{
        {50, 20},
        {350, 60},
        {3000, 60},
        {350, 60, pools, 0.6},
        {350, 300, 1, 0.6},
        {350, 300, pools, 0.6},
        {350, 300, pools, 0.6, true},
        {350, 300, 1, 0.6, true},
    };
    if (!arguments.empty()) // one of them, for a profiler
        scenarios = {scenarios.at(std::stoul(arguments.front()))};
    for (const Scenario &scenario : scenarios) {
        SchedulingModel model(scenario);
        const double before = processorSeconds(self);
        model.run();
        const double used = processorSeconds(self) - before;
        const auto started = static_cast<double>(std::max<std::uint64_t>(1, model.startedTasks()));
        fmt::print("measure=scheduling workers={} jobs_per_s={} loaded_pools={} size_spread={} "
                   "small_host={} started_tasks={} finished_jobs={} events={} cores={:.4f} "
                   "us_per_task={:.1f}\n",
                   scenario.workers, scenario.jobsPerSecond, scenario.loadedPools,
                   scenario.sizeSpread, scenario.smallHost, model.startedTasks(),
                   model.finishedJobs(), model.events(), used / toSeconds(simulated),
                   1e6 * used / started);
    }
    return 0;
}

const PluginRegistrar<MeasurementRegistry> scheduling("scheduling", [] {
    return std::make_unique<SchedulingMeasurement>();
});

} // namespace

} // namespace Peridot
