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
    /// What the runs use of the quotas of their organisations.
    const OrganisationUsage &usage() const { return m_usage; }

    Map::iterator begin() { return m_runs.begin(); }
    Map::iterator end() { return m_runs.end(); }
    Map::const_iterator begin() const { return m_runs.begin(); }
    Map::const_iterator end() const { return m_runs.end(); }
    /// First run of \a job, in the order of names.
    Map::const_iterator firstOf(const std::string &job) const;

private:
    Map m_runs;
    TaskSize m_reserved;
    OrganisationUsage m_usage;
};

} // namespace Peridot::Jobs
