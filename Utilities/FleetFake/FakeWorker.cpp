#include <FleetFake/FakeWorker.h>

#include <algorithm>

namespace Peridot {

FakeWorker::FakeWorker(std::string name, WorkerTiming timing)
    : m_name(std::move(name)), m_timing(timing)
{
}

bool FakeWorker::executes(const Task &task)
{
    return task.begun && (task.state == TaskState::Running || task.state == TaskState::Throttled);
}

bool FakeWorker::isExecuting(const std::string &task) const
{
    const auto found = m_tasks.find(task);
    return !m_down && !m_rebootEnd && found != m_tasks.end() && executes(found->second);
}

std::vector<std::string> FakeWorker::executingTasks() const
{
    std::vector<std::string> names;
    for (const auto &[name, task] : m_tasks) {
        if (isExecuting(name))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> FakeWorker::takeFinished()
{
    return std::exchange(m_finished, {});
}

std::map<std::string, TimePoint> FakeWorker::takeStarted()
{
    return std::exchange(m_started, {});
}

void FakeWorker::receive(const WorkerCommand &command, const TaskBehaviour &behaviour,
                         TimePoint now)
{
    if (m_down || m_isolated || m_rebootEnd)
        return;
    if (command.kind == WorkerCommandKind::Reboot)
        return beginReboot(command, now);
    auto [entry, inserted] = m_tasks.try_emplace(command.task);
    auto &task = entry->second;
    if (command.epoch < task.epoch)
        return;
    const bool newer = command.epoch > task.epoch;
    const bool ended
        = !newer && task.state != TaskState::Running && task.state != TaskState::Throttled;
    if (newer) {
        task = Task();
        task.epoch = command.epoch;
    }
    switch (command.kind) {
    case WorkerCommandKind::Start:
        if (!ended)
            start(task, command, behaviour, now);
        break;
    case WorkerCommandKind::Throttle:
        if (!ended) {
            start(task, command, behaviour, now);
            task.state = TaskState::Throttled;
        }
        break;
    case WorkerCommandKind::Checkpoint:
        if (newer || !task.begun)
            task.state = ended ? task.state : TaskState::Stopped;
        else if (!ended && !task.checkpointEnd)
            task.checkpointEnd = now + m_timing.checkpoint;
        break;
    case WorkerCommandKind::Stop:
        if (!ended)
            task.state = TaskState::Stopped;
        break;
    case WorkerCommandKind::Reboot:
        break;
    }
}

void FakeWorker::start(Task &task, const WorkerCommand &command, const TaskBehaviour &behaviour,
                       TimePoint now)
{
    if (command.leaseEnd <= now)
        return;
    if (task.startedAt == TimePoint())
        task.startedAt = now + m_timing.start;
    task.leaseEnd = std::max(task.leaseEnd, command.leaseEnd);
    task.state = TaskState::Running;
    task.behaviour = behaviour;
}

void FakeWorker::beginReboot(const WorkerCommand &command, TimePoint now)
{
    if (m_bootCount >= command.epoch)
        return;
    for (auto &[name, task] : m_tasks)
        m_cutTasks += executes(task) ? 1 : 0;
    ++m_commandedReboots;
    m_rebootEnd = now + m_timing.reboot;
}

void FakeWorker::advanceTask(const std::string &name, Task &task, TimePoint now)
{
    if (task.state != TaskState::Running && task.state != TaskState::Throttled)
        return;
    if (now >= task.leaseEnd) {
        task.state = TaskState::Stopped;
    } else if (task.checkpointEnd && now >= *task.checkpointEnd) {
        task.state = TaskState::Checkpointed;
    } else if (now >= task.startedAt) {
        if (!task.begun)
            m_started.emplace(name, task.startedAt);
        task.begun = true;
        if (m_broken || task.behaviour.fails) {
            task.state = TaskState::Failed;
        } else if (task.behaviour.runTime && now - task.startedAt >= *task.behaviour.runTime) {
            task.state = TaskState::Finished;
            m_finished.push_back(name);
        }
    }
}

void FakeWorker::advance(TimePoint now)
{
    if (m_rebootEnd && now >= *m_rebootEnd && !m_down) {
        m_rebootEnd.reset();
        ++m_bootCount;
        std::erase_if(m_tasks, [](const auto &entry) { return executes(entry.second); });
    }
    if (m_down || m_rebootEnd)
        return;
    for (auto &[name, task] : m_tasks)
        advanceTask(name, task, now);
    if (!m_isolated)
        m_lastSeen = now;
}

HostReport FakeWorker::report(TimePoint now) const
{
    HostReport report;
    report.host = m_name;
    report.lastSeen = m_lastSeen;
    report.bootCount = m_bootCount;
    if (now == m_lastSeen || m_isolated || m_down || m_rebootEnd) {
        for (const auto &[name, task] : m_tasks) {
            if (task.epoch > 0 && (task.begun || task.state != TaskState::Running))
                report.tasks.push_back({name, task.state, task.behaviour.usage, task.epoch});
        }
    }
    return report;
}

void FakeWorker::fail(TimePoint now)
{
    advance(now);
    m_down = true;
    m_rebootEnd.reset();
}

void FakeWorker::recover()
{
    if (!m_down)
        return;
    m_down = false;
    ++m_bootCount;
    std::erase_if(m_tasks, [](const auto &entry) { return executes(entry.second); });
}

} // namespace Peridot
