#include "JobSimulation.h"

#include <algorithm>
#include <numeric>

namespace Peridot::Jobs::Test {

using namespace std::chrono_literals;

namespace {

constexpr unsigned maximumAttempts = 3;
constexpr std::chrono::milliseconds orderTimeout{600};
constexpr std::chrono::milliseconds listInterval{500};
constexpr std::size_t storeEntries = 100;
constexpr std::size_t storeRowBytes = 65'536;
constexpr TaskSize workerCapacity{8000, 16000, 0};
constexpr const char *limitedOrganisation = "limited";
// A third of what the workers hold.
constexpr TaskSize limitedQuota{10'000, 20'000, 0};

JobConfiguration configuration()
{
    JobConfiguration result;
    result.version = 1;
    result.queues.push_back(
        {"checks", "example", "/checks/", "pool", 0, maximumAttempts, 1.6, 600ms});
    result.pools.push_back({"pool", false});
    result.organisations = {{limitedOrganisation, {}, 0, 0, limitedQuota}, {"unlimited", {}}};
    return result;
}

} // namespace

JobSimulation::JobSimulation(std::uint64_t seed, InjectedFaults faults, SchedulerDefects defects)
    : m_random(seed), m_faults(faults), m_defects(defects), m_store(seed + 1)
{
    m_store.advanceTo(m_now);
    m_store.setLatency(2ms, 2ms);
    m_store.setLimits(storeEntries, storeRowBytes);
    setStoreFaults(m_faults.unansweredCommits, m_faults.refusedCommits);
    for (int index = 0; index < 4; ++index) {
        SimulatedWorker worker;
        worker.description.id = "w" + std::to_string(index);
        worker.description.address = "10.0.0.1";
        worker.description.pool = "pool";
        worker.description.capacity = workerCapacity;
        worker.description.startedAt = toUnixMilliseconds(m_now);
        worker.startedAt = m_now;
        worker.clockRate = index % 2 == 0 ? 1.0 : 0.98;
        m_workers.emplace(worker.description.id, worker);
    }
}

void JobSimulation::scheduleAt(TimePoint time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

bool JobSimulation::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random.engine()) < probability;
}

Duration JobSimulation::randomDuration(Duration minimum, Duration maximum)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(
        m_random.engine()));
}

WorkerClock JobSimulation::clockOf(const SimulatedWorker &worker) const
{
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - worker.startedAt);
    return static_cast<WorkerClock>(static_cast<double>(elapsed.count()) * worker.clockRate);
}

void JobSimulation::violation(const std::string &rule, const std::string &detail)
{
    m_violations.push_back(rule + ": " + detail + " at "
                           + std::to_string(toUnixMilliseconds(m_now)));
}

void JobSimulation::recordEvent(const std::string &event)
{
    m_digest.add(std::to_string(toUnixMilliseconds(m_now)) + ' ' + event);
}

void JobSimulation::setStoreFaults(double unanswered, double refused)
{
    m_store.setRandomFault(StoreCallKind::Commit, {StoreFaultKind::LoseAnswerAfterEffect, {}},
                           unanswered);
    m_store.setRandomFault(StoreCallKind::Commit, {StoreFaultKind::Refuse, {}}, refused);
}

void JobSimulation::commitWithoutFaults(const Transaction &transaction)
{
    setStoreFaults(0, 0);
    m_store.commit(transaction, [](const CommitResult &) {});
    setStoreFaults(m_faults.unansweredCommits, m_faults.refusedCommits);
}

void JobSimulation::submitJob()
{
    SimulatedJob job;
    job.submitted.id = "job" + std::to_string(m_jobs.size());
    job.submitted.acceptedAt = m_now;
    job.submitted.queue = configuration().queues.front();
    // Operands are evaluated in an unspecified order, so that each draw is a statement.
    const bool second = chance(0.5);
    const bool third = chance(0.3);
    const int steps = 1 + static_cast<int>(second) + static_cast<int>(third);
    for (int index = 0; index < steps; ++index) {
        StepSpecification step;
        step.count = static_cast<unsigned>(randomDuration(1ns, 5ns).count());
        step.size
            = {randomDuration(500ns, 3000ns).count(), randomDuration(100ns, 3000ns).count(), 0};
        step.estimatedRuntime = 400ms;
        if (index > 0)
            step.after = {static_cast<unsigned>(index - 1)};
        recordEvent("step " + std::to_string(step.count) + ' '
                    + std::to_string(step.size.milliProcessors) + ' '
                    + std::to_string(step.size.megabytes));
        job.submitted.specification.steps.push_back(step);
    }
    if (m_faults.quotas)
        job.submitted.organisation = chance(0.7) ? limitedOrganisation : "unlimited";
    Transaction transaction;
    transaction.operationId = "submit/" + job.submitted.id;
    transaction.writes = {{jobKey(job.submitted.id), encodeSubmittedJob(job.submitted)}};
    commitWithoutFaults(transaction);
    const std::string id = job.submitted.id;
    m_jobs.emplace(id, job);
    scheduleAt(m_now + 6ms, [this, id] {
        if (m_instance)
            m_instance->scheduler->addJob(m_now, m_jobs.at(id).submitted, std::nullopt,
                                          absentVersion);
    });
    if (m_faults.cancellations && chance(0.1)) {
        scheduleAt(m_now + randomDuration(10ms, 2s), [this, id] {
            m_jobs.at(id).cancelledAt = m_now;
            Transaction cancel;
            cancel.operationId = "cancel/" + id;
            cancel.writes = {{cancellationKey(id), "{}"}};
            commitWithoutFaults(cancel);
            scheduleAt(m_now + 6ms, [this, id] {
                if (m_instance)
                    m_instance->scheduler->cancelJob(m_now, id);
            });
        });
    }
}

// Workers

void JobSimulation::raiseLeaseEnd(SimulatedWorker &worker, WorkerClock leaseEnd)
{
    worker.leaseEnd = std::max(worker.leaseEnd, std::min(leaseEnd, clockOf(worker) + 10000));
}

void JobSimulation::endRunsOfExpiredLease(SimulatedWorker &worker)
{
    if (!worker.up || clockOf(worker) < worker.leaseEnd)
        return;
    while (!worker.runs.empty()) {
        const RunName name = worker.runs.begin()->first;
        endRun(worker, name, RunOutcome::LeaseExpired);
    }
}

void JobSimulation::checkStart(const SimulatedWorker &worker, const RunName &name)
{
    const SimulatedJob &job = m_jobs.at(name.task.job);
    for (const auto &[id, other] : m_workers) {
        for (const auto &[run, state] : other.runs) {
            if (other.up && run.task == name.task)
                violation("concurrent runs of a task", name.task.text() + " on " + id);
        }
    }
    if (job.acknowledgedDone.contains(name.task))
        violation("run after an acknowledged end", name.task.text());
    const StepSpecification &step = job.submitted.specification.steps[name.task.step];
    for (const unsigned dependency : step.after) {
        const unsigned count = job.submitted.specification.steps[dependency].count;
        for (unsigned index = 0; index < count; ++index) {
            if (!job.done.contains({name.task.job, 0, dependency, index}))
                violation("run before its dependencies are done", name.task.text());
        }
    }
    TaskSize used = step.size;
    for (const auto &[run, state] : worker.runs)
        used = plus(used, state.size);
    if (!fitsInto(used, worker.description.capacity))
        violation("capacity", name.task.text() + " on " + worker.description.id);
    const auto failures = job.acknowledgedFailures.find(name.task);
    if (failures != job.acknowledgedFailures.end() && failures->second >= maximumAttempts)
        violation("attempts", name.task.text());
    if (job.cancelledAt && m_now > *job.cancelledAt + 5s && m_faultsEnded)
        violation("start after a cancellation", name.task.text());
}

void JobSimulation::checkQuota(const RunName &name)
{
    const auto isLimited = [&](const RunName &run) {
        return m_jobs.at(run.task.job).submitted.organisation == limitedOrganisation;
    };
    if (!isLimited(name))
        return;
    TaskSize used;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[run, state] : worker.runs) {
            if (worker.up && isLimited(run))
                used = plus(used, state.size);
        }
    }
    // The start itself is the one task more that the limit allows.
    const TaskSize most{limitedQuota.milliProcessors * 11 / 10, limitedQuota.megabytes * 11 / 10,
                        0};
    if (!fitsInto(used, most))
        violation("quota", name.task.text());
}

OrderReply JobSimulation::start(SimulatedWorker &worker, const StartOrder &order)
{
    if (order.fencingEpoch < worker.highestEpoch)
        return {OrderOutcome::Fenced, clockOf(worker)};
    worker.highestEpoch = order.fencingEpoch;
    const RunName &name = order.run;
    if (worker.runs.contains(name))
        return {OrderOutcome::Accepted, clockOf(worker)};
    if (order.leaseEnd <= clockOf(worker))
        return {OrderOutcome::Expired, clockOf(worker)};
    raiseLeaseEnd(worker, order.leaseEnd);
    const auto ended = worker.highestEnded.find(name.task);
    if (ended != worker.highestEnded.end() && name.run <= ended->second)
        return {OrderOutcome::Superseded, clockOf(worker)};
    checkStart(worker, name);
    checkQuota(name);
    recordEvent("start " + name.task.text() + " on " + worker.description.id);
    SimulatedRun run;
    run.size = m_jobs.at(name.task.job).submitted.specification.steps[name.task.step].size;
    run.fails = chance(m_faults.failedRuns);
    run.endsAt = m_now + randomDuration(100ms, 1500ms);
    if (m_faults.longRuns && chance(0.15))
        run.endsAt += randomDuration(5s, 10s);
    worker.runs.emplace(name, run);
    const std::string id = worker.description.id;
    const std::int64_t incarnation = worker.description.startedAt;
    scheduleAt(run.endsAt, [this, id, incarnation, name] {
        SimulatedWorker &target = m_workers.at(id);
        endRunsOfExpiredLease(target);
        const auto found = target.runs.find(name);
        if (target.description.startedAt == incarnation && found != target.runs.end())
            endRun(target, name, found->second.fails ? RunOutcome::Failed : RunOutcome::Done);
    });
    return {OrderOutcome::Accepted, clockOf(worker)};
}

void JobSimulation::endRun(SimulatedWorker &worker, const RunName &name, RunOutcome outcome)
{
    recordEvent("end " + name.task.text() + " as " + std::to_string(static_cast<int>(outcome)));
    worker.runs.erase(name);
    auto &highest = worker.highestEnded[name.task];
    highest = std::max(highest, name.run);
    EndedRun end;
    end.number = worker.ends.size() + 1;
    end.run = name;
    end.outcome = outcome;
    worker.ends.push_back({end, false});
    if (outcome == RunOutcome::Done)
        m_jobs.at(name.task.job).done.insert(name.task);
}

OrderReply JobSimulation::stop(SimulatedWorker &worker, const StopOrder &order)
{
    if (order.fencingEpoch < worker.highestEpoch)
        return {OrderOutcome::Fenced, clockOf(worker)};
    worker.highestEpoch = order.fencingEpoch;
    auto &highest = worker.highestEnded[order.run.task];
    highest = std::max(highest, order.run.run);
    if (worker.runs.contains(order.run))
        endRun(worker, order.run, RunOutcome::Stopped);
    return {OrderOutcome::Accepted, clockOf(worker)};
}

PollReply JobSimulation::poll(SimulatedWorker &worker, const PollOrder &order)
{
    PollReply reply;
    reply.clock = clockOf(worker);
    reply.startedAt = worker.description.startedAt;
    reply.outcome = OrderOutcome::Fenced;
    if (order.fencingEpoch < worker.highestEpoch)
        return reply;
    worker.highestEpoch = order.fencingEpoch;
    reply.outcome = OrderOutcome::Accepted;
    if (order.leaseEnd)
        raiseLeaseEnd(worker, *order.leaseEnd);
    for (SimulatedEnd &entry : worker.ends) {
        if (entry.end.number > order.acknowledgedEnds) {
            if (entry.end.number > worker.highestAcknowledged)
                reply.ended.push_back(entry.end);
            continue;
        }
        worker.highestAcknowledged = std::max(worker.highestAcknowledged, entry.end.number);
        if (std::exchange(entry.acknowledgementReceived, true))
            continue;
        SimulatedJob &job = m_jobs.at(entry.end.run.task.job);
        if (entry.end.outcome == RunOutcome::Done)
            job.acknowledgedDone.insert(entry.end.run.task);
        if (entry.end.outcome == RunOutcome::Failed)
            ++job.acknowledgedFailures[entry.end.run.task];
    }
    for (const auto &[name, run] : worker.runs)
        reply.active.push_back({name, {}, 50, std::nullopt});
    return reply;
}

// Delivery of orders and replies

template <typename Order, typename Reply>
void JobSimulation::deliver(const std::shared_ptr<SchedulerInstance> &instance, const Order &order,
                            std::function<Reply(SimulatedWorker &)> execute,
                            void (JobScheduler::*handleReply)(TimePoint, const Order &,
                                                              const Reply &))
{
    const auto answer = [this, instance, order, handleReply](TimePoint time, const Reply &reply) {
        scheduleAt(time, [this, instance, order, handleReply, reply] {
            if (!instance->running)
                return;
            ((*instance->scheduler).*handleReply)(m_now, order, reply);
            planAndCommit(instance);
        });
    };
    const bool delayed = chance(m_faults.delayedOrders);
    const bool unanswered = delayed || chance(m_faults.lostReplies);
    const std::int64_t incarnation = m_workers.at(order.worker).description.startedAt;
    scheduleAt(m_now + (delayed ? randomDuration(2s, 8s) : randomDuration(1ms, 4ms)), [=, this] {
        SimulatedWorker &worker = m_workers.at(order.worker);
        const bool isReachable = worker.up && (worker.reachable || delayed);
        if (!isReachable || worker.description.startedAt != incarnation) {
            if (!delayed)
                answer(m_now + orderTimeout, Reply{});
            return;
        }
        endRunsOfExpiredLease(worker);
        const Reply reply = execute(worker);
        if (!unanswered)
            answer(m_now + randomDuration(1ms, 4ms), reply);
    });
    if (unanswered)
        answer(m_now + orderTimeout, Reply{});
}

SchedulerHooks JobSimulation::makeHooks(const std::weak_ptr<SchedulerInstance> &weak)
{
    SchedulerHooks hooks;
    hooks.defects = m_defects;
    hooks.fenced = [weak] {
        if (const auto instance = weak.lock())
            instance->running = false;
    };
    hooks.orders.start = [this, weak](const StartOrder &order) {
        deliver<StartOrder, OrderReply>(
            weak.lock(), order,
            [this, order](SimulatedWorker &worker) { return start(worker, order); },
            &JobScheduler::startFinished);
    };
    hooks.orders.stop = [this, weak](const StopOrder &order) {
        deliver<StopOrder, OrderReply>(
            weak.lock(), order,
            [this, order](SimulatedWorker &worker) { return stop(worker, order); },
            &JobScheduler::stopFinished);
    };
    hooks.orders.poll = [this, weak](const PollOrder &order) {
        // Polls do not wait for a run to end: they are answered immediately, and repeated soon.
        deliver<PollOrder, PollReply>(
            weak.lock(), order,
            [this, order](SimulatedWorker &worker) { return poll(worker, order); },
            &JobScheduler::pollFinished);
    };
    hooks.orders.throttle = [](const ThrottleOrder &) {
    };
    return hooks;
}

// Schedulers

void JobSimulation::startScheduler()
{
    ++m_epoch;
    Transaction transaction;
    transaction.operationId = "epoch/" + std::to_string(m_epoch);
    transaction.writes = {{std::string(progressEpochKey), std::to_string(m_epoch)}};
    commitWithoutFaults(transaction);
    m_store.advanceTo(m_now + 2ms);
    m_now = m_store.now();
    auto instance = std::make_shared<SchedulerInstance>();
    const Version version = m_store.row(std::string(progressEpochKey)).version;
    instance->scheduler = std::make_unique<JobScheduler>(m_epoch, version, SchedulerTiming{},
                                                         makeHooks(instance), m_now);
    instance->scheduler->setConfiguration(std::make_shared<JobConfiguration>(configuration()));
    for (const Row &row : m_store.snapshot()) {
        if (!row.key.starts_with(jobPrefix) || row.key.ends_with(cancellationSuffix))
            continue;
        const SubmittedJob job = parseSubmittedJob(row.value).value();
        const Row progress = m_store.row(progressKey(job.id));
        std::optional<JobProgress> loaded;
        if (progress.version != absentVersion)
            loaded = parseJobProgress(progress.value).value();
        instance->scheduler->addJob(m_now, job, loaded, progress.version);
        if (m_store.row(cancellationKey(job.id)).version != absentVersion)
            instance->scheduler->cancelJob(m_now, job.id);
    }
    if (m_instance) {
        // The previous scheduler keeps running until it learns of its successor.
        const auto previous = m_instance;
        scheduleAt(m_now + randomDuration(0ms, 4s), [previous] { previous->running = false; });
    }
    m_instance = instance;
    listWorkers(*instance);
    tick(instance);
}

void JobSimulation::tick(const std::shared_ptr<SchedulerInstance> &instance)
{
    if (!instance->running)
        return;
    listWorkers(*instance);
    planAndCommit(instance);
    scheduleAt(m_now + 50ms, [this, instance] { tick(instance); });
}

void JobSimulation::listWorkers(SchedulerInstance &instance)
{
    if (!m_faults.restarts || m_now >= m_listUpdatedAt + listInterval)
        updateList();
    instance.scheduler->setWorkers(m_now, m_list);
}

void JobSimulation::updateList()
{
    m_listUpdatedAt = m_now;
    m_list.clear();
    for (const auto &[id, worker] : m_workers) {
        if (worker.up)
            m_list.push_back(worker.description);
    }
}

void JobSimulation::planAndCommit(const std::shared_ptr<SchedulerInstance> &instance)
{
    if (!instance->running)
        return;
    instance->scheduler->plan(m_now);
    if (const auto cleanup = instance->scheduler->takeCleanup(m_now)) {
        m_store.commit(*cleanup, [this, instance](const CommitResult &result) {
            m_now = std::max(m_now, m_store.now());
            if (instance->running)
                instance->scheduler->cleanupFinished(m_now, result);
        });
    }
    if (const auto transaction = instance->scheduler->takeTransaction(m_now)) {
        m_store.commit(*transaction, [this, instance](const CommitResult &result) {
            m_now = std::max(m_now, m_store.now());
            if (!instance->running)
                return;
            instance->scheduler->transactionFinished(m_now, result);
            scheduleAt(m_now, [this, instance] { planAndCommit(instance); });
        });
    }
}

void JobSimulation::scheduleFaults(TimePoint until)
{
    for (TimePoint time = m_now + 1s; time < until; time += randomDuration(1s, 3s)) {
        scheduleAt(time, [this] {
            auto worker
                = std::next(m_workers.begin(), static_cast<int>(randomDuration(0ns, 3ns).count()));
            SimulatedWorker &chosen = worker->second;
            if (m_faults.takeovers && chance(0.4))
                startScheduler();
            if (m_faults.restarts && chosen.up) {
                const Duration downtime = randomDuration(0ms, 900ms);
                restart(chosen, downtime);
                if (m_faults.partitions)
                    cutOff(chosen, m_now + downtime + randomDuration(20ms, 800ms));
            } else if (m_faults.crashes && chance(0.4) && chosen.up) {
                restart(chosen, randomDuration(300ms, 9s));
            } else if (m_faults.partitions && chance(0.4)) {
                cutOff(chosen, m_now);
            }
        });
    }
}

void JobSimulation::cutOff(SimulatedWorker &worker, TimePoint from)
{
    const TimePoint until = from + randomDuration(300ms, 9s);
    scheduleAt(from, [&worker] { worker.reachable = false; });
    scheduleAt(until, [&worker] { worker.reachable = true; });
}

void JobSimulation::restart(SimulatedWorker &worker, Duration downtime)
{
    worker.up = false;
    worker.runs.clear();
    scheduleAt(m_now + downtime, [this, &worker] {
        worker = SimulatedWorker{worker.description, true, true, m_now, 0.98, 0, 0, {}, {}, {}, 0};
        worker.description.startedAt = toUnixMilliseconds(m_now);
    });
}

void JobSimulation::run(Duration loadDuration, Duration drainDuration)
{
    const TimePoint until = m_now + loadDuration;
    startScheduler();
    for (TimePoint time = m_now + 100ms; time < until; time += randomDuration(50ms, 400ms))
        scheduleAt(time, [this] { submitJob(); });
    scheduleFaults(until);
    scheduleAt(until, [this] {
        m_faults.lostReplies = 0;
        m_faults.delayedOrders = 0;
        m_faults.failedRuns = 0;
        m_faults.unansweredCommits = 0;
        m_faults.refusedCommits = 0;
        setStoreFaults(0, 0);
    });
    const TimePoint end = until + drainDuration;
    while (m_now < end) {
        const auto next = m_events.begin();
        const TimePoint time = next == m_events.end() ? end : next->first;
        const auto stored = m_store.nextEvent();
        if (stored && *stored <= time) {
            m_store.advanceTo(*stored);
            m_now = std::max(m_now, *stored);
            continue;
        }
        if (next == m_events.end())
            break;
        m_now = std::max(m_now, time);
        const auto event = std::move(next->second);
        m_events.erase(next);
        event();
    }
    for (const auto &[id, job] : m_jobs) {
        const Row row = m_store.row(progressKey(id));
        const bool written = row.version != absentVersion;
        const JobPhase phase
            = written ? parseJobProgress(row.value).value().phase : JobPhase::Queued;
        if (!isFinished(phase))
            violation("job not finished", id + ' ' + std::string(jobPhaseNames.nameOf(phase)));
        const unsigned tasks = std::accumulate(
            job.submitted.specification.steps.begin(), job.submitted.specification.steps.end(), 0U,
            [](unsigned sum, const StepSpecification &step) { return sum + step.count; });
        if (phase == JobPhase::Completed && job.done.size() != tasks)
            violation("completed with unfinished tasks", id);
        if (phase == JobPhase::Cancelled && !job.cancelledAt)
            violation("cancelled without a request", id);
    }
}

unsigned JobSimulation::completedJobs() const
{
    return static_cast<unsigned>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
            const Row row = m_store.row(progressKey(entry.first));
            return row.version != absentVersion
                   && parseJobProgress(row.value).value().phase == JobPhase::Completed;
        }));
}

} // namespace Peridot::Jobs::Test
