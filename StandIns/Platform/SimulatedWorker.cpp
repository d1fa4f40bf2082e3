#include "SimulatedWorker.h"

#include <algorithm>

namespace Peridot {

namespace {

// Ended tasks stay in the report for this long, so that a slow reader sees how they ended.
constexpr Duration endedTaskRetention = std::chrono::minutes(1);

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.rfind('/'));
}

bool covers(const Resources &limit, const Resources &usage)
{
    return limit.processors >= usage.processors && limit.memoryGigabytes >= usage.memoryGigabytes;
}

Resources smaller(const Resources &left, const Resources &right)
{
    return {std::min(left.processors, right.processors),
            std::min(left.memoryGigabytes, right.memoryGigabytes),
            std::min(left.accelerators, right.accelerators)};
}

} // namespace

SimulatedWorker::SimulatedWorker(WorkerDescription description, const WorkerTimings &timings,
                                 BehaviourLookup behaviourOf, TimePoint now)
    : m_description(std::move(description)), m_timings(timings),
      m_behaviourOf(std::move(behaviourOf)), m_lastSeen(now)
{
}

CommandReply SimulatedWorker::apply(TimePoint now, const WorkerCommand &command)
{
    tick(now);
    if (command.kind == WorkerCommandKind::Reboot)
        return reboot(now, command.epoch);
    auto &highest = m_highestEpochs[command.task];
    if (command.epoch < highest)
        return {false, "old-epoch"};
    highest = command.epoch;
    if (command.kind == WorkerCommandKind::Start)
        return start(now, command);
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end())
        return endUnknown(now, command);
    switch (command.kind) {
    case WorkerCommandKind::Checkpoint:
        return checkpoint(now, found->second);
    case WorkerCommandKind::Throttle:
        return throttle(now, found->second, command.limit);
    default:
        m_endedEpochs[command.task] = command.epoch;
        return stop(now, found->second);
    }
}

CommandReply SimulatedWorker::endUnknown(TimePoint now, const WorkerCommand &command)
{
    if (command.kind == WorkerCommandKind::Throttle)
        return {false, "no-such-task"};
    // A start with the same epoch that is still on its way has no effect any more. The report says
    // so; otherwise the caller would wait for the end of the task's lease.
    Task &task = m_tasks[command.task];
    task.report.task = command.task;
    task.report.epoch = command.epoch;
    end(now, task, TaskState::Stopped);
    return {true, "no-such-task"};
}

CommandReply SimulatedWorker::reboot(TimePoint now, std::uint64_t epoch)
{
    if (epoch < m_rebootEpoch)
        return {false, "old-epoch"};
    if (epoch == m_rebootEpoch)
        return {true, "already-done"};
    m_rebootEpoch = epoch;
    m_rebootEnd = now + m_timings.reboot;
    loseTasks();
    return {true, {}};
}

CommandReply SimulatedWorker::start(TimePoint now, const WorkerCommand &command)
{
    const auto ended = m_endedEpochs.find(command.task);
    if (ended != m_endedEpochs.end() && command.epoch <= ended->second)
        return {false, "ended"};
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end() || !isActive(found->second)) {
        const bool sameCheckpoint
            = found != m_tasks.end() && found->second.report.epoch == command.epoch;
        // Only a new epoch resumes a checkpointed task, so that a late renewal of the lease does
        // not.
        if (sameCheckpoint)
            return {false, "checkpointed"};
        if (m_leaving)
            return {false, "leaving"};
        begin(now, m_tasks[command.task], command);
        return {true, {}};
    }
    Task &task = found->second;
    task.leaseEnd = std::max(task.leaseEnd, command.leaseEnd);
    if (command.epoch > task.report.epoch && task.report.state == TaskState::Throttled)
        throttle(now, task, command.limit);
    task.report.epoch = command.epoch;
    return {true, {}};
}

void SimulatedWorker::begin(TimePoint now, Task &task, const WorkerCommand &command)
{
    const JobBehaviour behaviour = m_behaviourOf(jobOf(command.task));
    const Duration progress
        = task.report.state == TaskState::Checkpointed ? task.progress : Duration(0);
    task = {};
    task.progress = progress;
    task.report.task = command.task;
    task.report.epoch = command.epoch;
    task.limit = command.limit;
    const double factor = m_timings.usageFactor;
    task.actual = behaviour.usage.value_or(Resources{command.limit.processors * factor,
                                                     command.limit.memoryGigabytes * factor,
                                                     command.limit.accelerators});
    task.leaseEnd = command.leaseEnd;
    task.runTime = behaviour.runTime;
    task.startTime = now + m_timings.taskStart;
    task.advanced = now;
}

CommandReply SimulatedWorker::checkpoint(TimePoint now, Task &task)
{
    if (!isActive(task))
        return {task.report.state == TaskState::Checkpointed, "not-running"};
    if (!task.checkpointTime)
        task.checkpointTime = now + m_timings.checkpoint;
    return {true, {}};
}

CommandReply SimulatedWorker::throttle(TimePoint now, Task &task, const Resources &limit)
{
    if (!isActive(task))
        return {false, "not-running"};
    task.limit = limit;
    task.report.state = covers(limit, task.actual) ? TaskState::Running : TaskState::Throttled;
    if (!task.startTime)
        setUsage(now, task, smaller(task.actual, limit));
    return {true, {}};
}

CommandReply SimulatedWorker::stop(TimePoint now, Task &task)
{
    if (isActive(task) || task.report.state == TaskState::Checkpointed)
        end(now, task, TaskState::Stopped);
    return {true, {}};
}

void SimulatedWorker::tick(TimePoint now)
{
    if (m_rebootEnd && now >= *m_rebootEnd) {
        m_rebootEnd.reset();
        ++m_bootCount;
    }
    if (!reachable())
        return;
    m_lastSeen = now;
    for (auto &[name, task] : m_tasks)
        advance(now, task);
    std::erase_if(m_tasks, [&](const auto &entry) {
        const Task &task = entry.second;
        return task.endTime && now >= *task.endTime + endedTaskRetention;
    });
}

void SimulatedWorker::advance(TimePoint now, Task &task)
{
    if (!isActive(task))
        return;
    if (now >= task.leaseEnd) {
        end(task.leaseEnd, task, TaskState::Stopped);
        return;
    }
    if (task.startTime) {
        if (now < *task.startTime)
            return;
        task.advanced = *task.startTime;
        task.startTime.reset();
        const bool throttled = task.report.state == TaskState::Throttled;
        setUsage(task.advanced, task, throttled ? smaller(task.actual, task.limit) : task.actual);
        if (m_failsTasks || m_behaviourOf(jobOf(task.report.task)).fails) {
            end(task.advanced, task, TaskState::Failed);
            return;
        }
    }
    const auto elapsed = static_cast<double>((now - task.advanced).count());
    task.progress += Duration(static_cast<Duration::rep>(elapsed * speedOf(task)));
    task.advanced = now;
    if (task.runTime && task.progress >= *task.runTime)
        end(now, task, TaskState::Finished);
    else if (task.checkpointTime && now >= *task.checkpointTime)
        end(now, task, TaskState::Checkpointed);
}

void SimulatedWorker::end(TimePoint now, Task &task, TaskState state)
{
    setUsage(now, task, {});
    task.report.state = state;
    task.startTime.reset();
    task.checkpointTime.reset();
    // A checkpointed task waits for its next start and stays in the report.
    if (state == TaskState::Checkpointed)
        return;
    task.endTime = now;
    auto &ended = m_endedEpochs[task.report.task];
    ended = std::max(ended, task.report.epoch);
}

void SimulatedWorker::fail()
{
    m_failed = true;
    m_rebootEnd.reset();
    loseTasks();
}

void SimulatedWorker::restore(TimePoint now)
{
    if (!m_failed)
        return;
    m_failed = false;
    ++m_bootCount;
    m_lastSeen = now;
}

void SimulatedWorker::loseTasks()
{
    for (const auto &[name, task] : m_tasks) {
        auto &ended = m_endedEpochs[name];
        ended = std::max(ended, task.report.epoch);
    }
    m_tasks.clear();
}

HostReport SimulatedWorker::report(TimePoint now) const
{
    HostReport report;
    report.host = m_description.name;
    report.liveness = m_leaving ? HostLiveness::Leaving : HostLiveness::Live;
    report.lastSeen = m_lastSeen;
    report.bootCount = m_bootCount;
    for (const auto &[name, task] : m_tasks) {
        report.tasks.push_back(task.report);
        report.tasks.back().usage = usageAt(task, now - m_timings.usageLag);
    }
    return report;
}

void SimulatedWorker::setUsage(TimePoint now, Task &task, const Resources &usage)
{
    constexpr std::size_t usageLimit = 32;
    task.usages.emplace_back(now, usage);
    if (task.usages.size() > usageLimit)
        task.usages.erase(task.usages.begin());
}

Resources SimulatedWorker::usageAt(const Task &task, TimePoint time)
{
    Resources usage;
    for (const auto &[since, value] : task.usages) {
        if (since <= time)
            usage = value;
    }
    return usage;
}

double SimulatedWorker::speedOf(const Task &task)
{
    if (task.report.state != TaskState::Throttled || task.actual.processors <= 0)
        return 1;
    return std::min(1.0, task.limit.processors / task.actual.processors);
}

bool SimulatedWorker::isActive(const Task &task)
{
    return task.report.state == TaskState::Running || task.report.state == TaskState::Throttled;
}

} // namespace Peridot
