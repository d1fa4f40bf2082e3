#include "JobWorld.h"

#include <algorithm>
#include <numeric>

namespace Peridot::Jobs::Test {

using namespace std::chrono_literals;

namespace {

constexpr unsigned maximumAttempts = 3;
constexpr std::chrono::milliseconds orderTimeout{600};
constexpr TaskSize workerCapacity{8000, 16000, 0};

JobConfiguration configuration()
{
    JobConfiguration result;
    result.version = 1;
    result.queues.push_back(
        {"checks", "example", "/checks/", "pool", 0, maximumAttempts, 1.6, 600ms});
    result.pools.push_back({"pool", false});
    return result;
}

} // namespace

JobWorld::JobWorld(std::uint64_t seed, WorldFaults faults, SchedulerDefects defects)
    : m_random(seed), m_faults(faults), m_defects(defects), m_store(seed + 1)
{
    m_store.advanceTo(m_now);
    m_store.setLatency(2ms, 2ms);
    setStoreFaults(m_faults.lostCommits, m_faults.refusedCommits);
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

void JobWorld::at(TimePoint time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

bool JobWorld::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random.engine()) < probability;
}

Duration JobWorld::between(Duration least, Duration most)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(least.count(),
                                                                most.count())(m_random.engine()));
}

WorkerClock JobWorld::clockOf(const SimulatedWorker &worker) const
{
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - worker.startedAt);
    return static_cast<WorkerClock>(static_cast<double>(elapsed.count()) * worker.clockRate);
}

void JobWorld::violation(const std::string &rule, const std::string &detail)
{
    m_violations.push_back(rule + ": " + detail + " at "
                           + std::to_string(toUnixMilliseconds(m_now)));
}

void JobWorld::note(const std::string &event)
{
    m_digest.add(std::to_string(toUnixMilliseconds(m_now)) + ' ' + event);
}

void JobWorld::setStoreFaults(double lost, double refused)
{
    m_store.setRandomFault(StoreCallKind::Commit, {StoreFaultKind::LoseAnswerAfterEffect, {}},
                           lost);
    m_store.setRandomFault(StoreCallKind::Commit, {StoreFaultKind::Refuse, {}}, refused);
}

void JobWorld::commitSurely(const Transaction &transaction)
{
    setStoreFaults(0, 0);
    m_store.commit(transaction, [](const CommitResult &) {});
    setStoreFaults(m_faults.lostCommits, m_faults.refusedCommits);
}

void JobWorld::submitJob()
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
        step.count = static_cast<unsigned>(between(1ns, 5ns).count());
        step.size = {between(500ns, 3000ns).count(), between(100ns, 3000ns).count(), 0};
        step.estimatedRuntime = 400ms;
        if (index > 0)
            step.after = {static_cast<unsigned>(index - 1)};
        note("step " + std::to_string(step.count) + ' ' + std::to_string(step.size.milliProcessors)
             + ' ' + std::to_string(step.size.megabytes));
        job.submitted.specification.steps.push_back(step);
    }
    Transaction transaction;
    transaction.operationId = "submit/" + job.submitted.id;
    transaction.writes = {{jobKey(job.submitted.id), encodeSubmittedJob(job.submitted)}};
    commitSurely(transaction);
    const std::string id = job.submitted.id;
    m_jobs.emplace(id, job);
    at(m_now + 6ms, [this, id] {
        if (m_leader)
            m_leader->scheduler->addJob(m_now, m_jobs.at(id).submitted, std::nullopt,
                                        absentVersion);
    });
    if (m_faults.cancels && chance(0.1)) {
        at(m_now + between(10ms, 2s), [this, id] {
            m_jobs.at(id).cancelledAt = m_now;
            Transaction cancel;
            cancel.operationId = "cancel/" + id;
            cancel.writes = {{cancellationKey(id), "{}"}};
            commitSurely(cancel);
            at(m_now + 6ms, [this, id] {
                if (m_leader)
                    m_leader->scheduler->cancelJob(m_now, id);
            });
        });
    }
}

// Workers

void JobWorld::extend(SimulatedWorker &worker, WorkerClock leaseEnd)
{
    worker.leaseEnd = std::max(worker.leaseEnd, std::min(leaseEnd, clockOf(worker) + 10000));
}

void JobWorld::expire(SimulatedWorker &worker)
{
    if (!worker.up || clockOf(worker) < worker.leaseEnd)
        return;
    while (!worker.runs.empty()) {
        const RunName name = worker.runs.begin()->first;
        endRun(worker, name, RunEnd::Lapsed);
    }
}

void JobWorld::checkStart(const SimulatedWorker &worker, const RunName &name)
{
    const SimulatedJob &job = m_jobs.at(name.task.job);
    for (const auto &[id, other] : m_workers) {
        for (const auto &[run, state] : other.runs) {
            if (other.up && run.task == name.task)
                violation("second run at a time", name.task.text() + " on " + id);
        }
    }
    if (job.notedDone.contains(name.task))
        violation("run after a noted end", name.task.text());
    const StepSpecification &step = job.submitted.specification.steps[name.task.step];
    for (const unsigned earlier : step.after) {
        const unsigned count = job.submitted.specification.steps[earlier].count;
        for (unsigned index = 0; index < count; ++index) {
            if (!job.done.contains({name.task.job, 0, earlier, index}))
                violation("order of steps", name.task.text());
        }
    }
    TaskSize used = step.size;
    for (const auto &[run, state] : worker.runs)
        used = plus(used, state.size);
    if (!fitsInto(used, worker.description.capacity))
        violation("capacity", name.task.text() + " on " + worker.description.id);
    const auto failures = job.notedFailures.find(name.task);
    if (failures != job.notedFailures.end() && failures->second >= maximumAttempts)
        violation("attempts", name.task.text());
    if (job.cancelledAt && m_now > *job.cancelledAt + 5s && m_calm)
        violation("start after a cancellation", name.task.text());
}

OrderReply JobWorld::start(SimulatedWorker &worker, const StartOrder &order)
{
    if (order.fencingEpoch < worker.fence)
        return {OrderOutcome::Fenced, clockOf(worker)};
    worker.fence = order.fencingEpoch;
    const RunName &name = order.run;
    if (worker.runs.contains(name))
        return {OrderOutcome::Accepted, clockOf(worker)};
    if (order.leaseEnd <= clockOf(worker))
        return {OrderOutcome::Expired, clockOf(worker)};
    extend(worker, order.leaseEnd);
    const auto ended = worker.highestEnded.find(name.task);
    if (ended != worker.highestEnded.end() && name.run <= ended->second)
        return {OrderOutcome::Superseded, clockOf(worker)};
    checkStart(worker, name);
    note("start " + name.task.text() + " on " + worker.description.id);
    SimulatedRun run;
    run.size = m_jobs.at(name.task.job).submitted.specification.steps[name.task.step].size;
    run.fails = chance(m_faults.failedRuns);
    run.endsAt = m_now + between(100ms, 1500ms);
    worker.runs.emplace(name, run);
    const std::string id = worker.description.id;
    const std::int64_t life = worker.description.startedAt;
    at(run.endsAt, [this, id, life, name] {
        SimulatedWorker &there = m_workers.at(id);
        expire(there);
        const auto found = there.runs.find(name);
        if (there.description.startedAt == life && found != there.runs.end())
            endRun(there, name, found->second.fails ? RunEnd::Failed : RunEnd::Done);
    });
    return {OrderOutcome::Accepted, clockOf(worker)};
}

void JobWorld::endRun(SimulatedWorker &worker, const RunName &name, RunEnd how)
{
    note("end " + name.task.text() + " as " + std::to_string(static_cast<int>(how)));
    worker.runs.erase(name);
    auto &highest = worker.highestEnded[name.task];
    highest = std::max(highest, name.run);
    EndedRun end;
    end.number = worker.ends.size() + 1;
    end.run = name;
    end.how = how;
    worker.ends.push_back({end, false});
    if (how == RunEnd::Done)
        m_jobs.at(name.task.job).done.insert(name.task);
}

OrderReply JobWorld::stop(SimulatedWorker &worker, const StopOrder &order)
{
    if (order.fencingEpoch < worker.fence)
        return {OrderOutcome::Fenced, clockOf(worker)};
    worker.fence = order.fencingEpoch;
    auto &highest = worker.highestEnded[order.run.task];
    highest = std::max(highest, order.run.run);
    if (worker.runs.contains(order.run))
        endRun(worker, order.run, RunEnd::Stopped);
    return {OrderOutcome::Accepted, clockOf(worker)};
}

LookReply JobWorld::look(SimulatedWorker &worker, const LookOrder &order)
{
    LookReply reply;
    reply.clock = clockOf(worker);
    reply.startedAt = worker.description.startedAt;
    reply.outcome = OrderOutcome::Fenced;
    if (order.fencingEpoch < worker.fence)
        return reply;
    worker.fence = order.fencingEpoch;
    reply.outcome = OrderOutcome::Accepted;
    if (order.leaseEnd)
        extend(worker, *order.leaseEnd);
    for (SimulatedEnd &entry : worker.ends) {
        if (entry.end.number > order.acknowledgedEnds) {
            if (entry.end.number > worker.acknowledged)
                reply.ended.push_back(entry.end);
            continue;
        }
        worker.acknowledged = std::max(worker.acknowledged, entry.end.number);
        if (std::exchange(entry.noted, true))
            continue;
        SimulatedJob &job = m_jobs.at(entry.end.run.task.job);
        if (entry.end.how == RunEnd::Done)
            job.notedDone.insert(entry.end.run.task);
        if (entry.end.how == RunEnd::Failed)
            ++job.notedFailures[entry.end.run.task];
    }
    for (const auto &[name, run] : worker.runs)
        reply.active.push_back({name, {}, 50, std::nullopt});
    return reply;
}

// Orders on their way

template <typename Order, typename Reply>
void JobWorld::deliver(const std::shared_ptr<Leader> &leader, const Order &order,
                       std::function<Reply(SimulatedWorker &)> carryOut,
                       void (JobScheduler::*answered)(TimePoint, const Order &, const Reply &))
{
    const auto answer = [this, leader, order, answered](TimePoint time, const Reply &reply) {
        at(time, [this, leader, order, answered, reply] {
            if (!leader->alive)
                return;
            ((*leader->scheduler).*answered)(m_now, order, reply);
            drive(leader);
        });
    };
    const bool late = chance(m_faults.lateOrders);
    const bool lost = late || chance(m_faults.lostAnswers);
    const std::int64_t life = m_workers.at(order.worker).description.startedAt;
    at(m_now + (late ? between(2s, 8s) : between(1ms, 4ms)), [=, this] {
        SimulatedWorker &worker = m_workers.at(order.worker);
        const bool reached = worker.up && (worker.reachable || late);
        if (!reached || worker.description.startedAt != life) {
            if (!late)
                answer(m_now + orderTimeout, Reply{});
            return;
        }
        expire(worker);
        const Reply reply = carryOut(worker);
        if (!lost)
            answer(m_now + between(1ms, 4ms), reply);
    });
    if (lost)
        answer(m_now + orderTimeout, Reply{});
}

SchedulerHooks JobWorld::hooksFor(const std::weak_ptr<Leader> &weak)
{
    SchedulerHooks hooks;
    hooks.defects = m_defects;
    hooks.deposed = [weak] {
        if (const auto leader = weak.lock())
            leader->alive = false;
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
    hooks.orders.look = [this, weak](const LookOrder &order) {
        // The wait for an end is not simulated: a look is answered at once, and comes again soon.
        deliver<LookOrder, LookReply>(
            weak.lock(), order,
            [this, order](SimulatedWorker &worker) { return look(worker, order); },
            &JobScheduler::lookFinished);
    };
    hooks.orders.pace = [](const PaceOrder &) {
    };
    return hooks;
}

// Schedulers

void JobWorld::newLeader()
{
    ++m_epoch;
    Transaction transaction;
    transaction.operationId = "epoch/" + std::to_string(m_epoch);
    transaction.writes = {{std::string(schedulerEpochKey), std::to_string(m_epoch)}};
    commitSurely(transaction);
    m_store.advanceTo(m_now + 2ms);
    m_now = m_store.now();
    auto leader = std::make_shared<Leader>();
    const Version version = m_store.row(std::string(schedulerEpochKey)).version;
    leader->scheduler = std::make_unique<JobScheduler>(m_epoch, version, SchedulerTiming{},
                                                       hooksFor(leader), m_now);
    leader->scheduler->setConfiguration(std::make_shared<JobConfiguration>(configuration()));
    for (const Row &row : m_store.snapshot()) {
        if (!row.key.starts_with(jobPrefix) || row.key.ends_with(cancellationSuffix))
            continue;
        const SubmittedJob job = parseSubmittedJob(row.value).value();
        const Row progress = m_store.row(progressKey(job.id));
        std::optional<JobProgress> loaded;
        if (progress.version != absentVersion)
            loaded = parseJobProgress(progress.value).value();
        leader->scheduler->addJob(m_now, job, loaded, progress.version);
        if (m_store.row(cancellationKey(job.id)).version != absentVersion)
            leader->scheduler->cancelJob(m_now, job.id);
    }
    if (m_leader) {
        // A deposed scheduler goes on for a while, because it does not know.
        const auto former = m_leader;
        at(m_now + between(0ms, 4s), [former] { former->alive = false; });
    }
    m_leader = leader;
    listWorkers(*leader);
    tick(leader);
}

void JobWorld::tick(const std::shared_ptr<Leader> &leader)
{
    if (!leader->alive)
        return;
    listWorkers(*leader);
    drive(leader);
    at(m_now + 50ms, [this, leader] { tick(leader); });
}

void JobWorld::listWorkers(Leader &leader)
{
    std::vector<WorkerDescription> list;
    for (const auto &[id, worker] : m_workers) {
        if (worker.up)
            list.push_back(worker.description);
    }
    leader.scheduler->setWorkers(m_now, list);
}

void JobWorld::drive(const std::shared_ptr<Leader> &leader)
{
    if (!leader->alive)
        return;
    leader->scheduler->plan(m_now);
    if (const auto transaction = leader->scheduler->takeTransaction(m_now)) {
        m_store.commit(*transaction, [this, leader](const CommitResult &result) {
            m_now = std::max(m_now, m_store.now());
            if (!leader->alive)
                return;
            leader->scheduler->transactionFinished(m_now, result);
            at(m_now, [this, leader] { drive(leader); });
        });
    }
}

void JobWorld::scheduleFaults(TimePoint until)
{
    for (TimePoint time = m_now + 1s; time < until; time += between(1s, 3s)) {
        at(time, [this] {
            auto worker = std::next(m_workers.begin(), static_cast<int>(between(0ns, 3ns).count()));
            SimulatedWorker &chosen = worker->second;
            if (m_faults.takeovers && chance(0.4))
                newLeader();
            if (m_faults.crashes && chance(0.4) && chosen.up) {
                chosen.up = false;
                chosen.runs.clear();
                at(m_now + between(300ms, 9s), [this, &chosen] {
                    chosen = SimulatedWorker{
                        chosen.description, true, true, m_now, 0.98, 0, 0, {}, {}, {}, 0};
                    chosen.description.startedAt = toUnixMilliseconds(m_now);
                });
            } else if (m_faults.cuts && chance(0.4)) {
                chosen.reachable = false;
                at(m_now + between(300ms, 9s), [&chosen] { chosen.reachable = true; });
            }
        });
    }
}

void JobWorld::run(Duration busy, Duration quiet)
{
    const TimePoint until = m_now + busy;
    newLeader();
    for (TimePoint time = m_now + 100ms; time < until; time += between(50ms, 400ms))
        at(time, [this] { submitJob(); });
    scheduleFaults(until);
    at(until, [this] {
        m_faults.lostAnswers = 0;
        m_faults.lateOrders = 0;
        m_faults.failedRuns = 0;
        m_faults.lostCommits = 0;
        m_faults.refusedCommits = 0;
        setStoreFaults(0, 0);
    });
    const TimePoint end = until + quiet;
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
            violation("completed too early", id);
        if (phase == JobPhase::Cancelled && !job.cancelledAt)
            violation("cancelled without a request", id);
    }
}

unsigned JobWorld::completedJobs() const
{
    return static_cast<unsigned>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
            const Row row = m_store.row(progressKey(entry.first));
            return row.version != absentVersion
                   && parseJobProgress(row.value).value().phase == JobPhase::Completed;
        }));
}

} // namespace Peridot::Jobs::Test
