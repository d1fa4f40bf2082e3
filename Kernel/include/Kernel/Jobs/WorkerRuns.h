#pragma once

#include <Kernel/Jobs/OrganisationUsage.h>
#include <Kernel/Jobs/WorkerRun.h>
#include <map>
#include <optional>

namespace Peridot::Jobs {

/// The runs of one worker by name, with the sum of the resources that they reserve.
class WorkerRuns
{
public:
    using Map = std::map<RunName, WorkerRun>;

    /// Does nothing when a run of this name exists.
    void add(const RunName &name, const WorkerRun &run);
    void remove(const RunName &name) { take(name); }
    /// Removes the run and returns it, if it exists.
    std::optional<WorkerRun> take(const RunName &name);
    Map takeAll();

    WorkerRun *find(const RunName &name);
    const WorkerRun *find(const RunName &name) const;
    bool empty() const { return m_runs.empty(); }
    std::size_t size() const { return m_runs.size(); }
    const TaskSize &reserved() const { return m_reserved; }
    const TaskSize &reservedByLongRunning() const { return m_reservedByLongRunning; }
    /// Counts the runs that are added from now on in \a usage, which must exist as long as this
    /// object, until they are removed.
    void countIn(OrganisationUsage &usage) { m_usage = &usage; }

    /// Whether a run was added, or may have been changed, since settle(). Every access through
    /// which a run can be changed counts.
    bool mayHaveChanged() const { return m_mayHaveChanged; }
    void settle() { m_mayHaveChanged = false; }

    Map::iterator begin()
    {
        m_mayHaveChanged = true;
        return m_runs.begin();
    }
    Map::iterator end() { return m_runs.end(); }
    Map::const_iterator begin() const { return m_runs.begin(); }
    Map::const_iterator end() const { return m_runs.end(); }
    /// First run that has this name or a later one.
    Map::const_iterator firstFrom(const RunName &name) const { return m_runs.lower_bound(name); }

private:
    void removed(const WorkerRun &run);

    Map m_runs;
    TaskSize m_reserved;
    TaskSize m_reservedByLongRunning;
    OrganisationUsage *m_usage = nullptr;
    bool m_mayHaveChanged = false;
};

} // namespace Peridot::Jobs
