#include <Kernel/Jobs/WorkerRuns.h>

#include <utility>

namespace Peridot::Jobs {

void WorkerRuns::add(const RunName &name, const WorkerRun &run)
{
    if (!m_runs.emplace(name, run).second)
        return;
    m_mayHaveChanged = true;
    m_reserved = plus(m_reserved, run.reserved);
    if (run.longRunning)
        m_reservedByLongRunning = plus(m_reservedByLongRunning, run.reserved);
    if (m_usage != nullptr)
        m_usage->add(run.organisation, run.charged);
}

std::optional<WorkerRun> WorkerRuns::take(const RunName &name)
{
    const auto node = m_runs.extract(name);
    if (!node)
        return std::nullopt;
    removed(node.mapped());
    return node.mapped();
}

void WorkerRuns::removed(const WorkerRun &run)
{
    m_reserved = minus(m_reserved, run.reserved);
    if (run.longRunning)
        m_reservedByLongRunning = minus(m_reservedByLongRunning, run.reserved);
    if (m_usage != nullptr)
        m_usage->remove(run.organisation, run.charged);
}

WorkerRuns::Map WorkerRuns::takeAll()
{
    for (const auto &[name, run] : m_runs)
        removed(run);
    return std::exchange(m_runs, {});
}

WorkerRun *WorkerRuns::find(const RunName &name)
{
    const auto found = m_runs.find(name);
    if (found == m_runs.end())
        return nullptr;
    m_mayHaveChanged = true;
    return &found->second;
}

const WorkerRun *WorkerRuns::find(const RunName &name) const
{
    const auto found = m_runs.find(name);
    return found == m_runs.end() ? nullptr : &found->second;
}

} // namespace Peridot::Jobs
