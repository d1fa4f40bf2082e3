#pragma once

#include "PlanSupport.h"

namespace Peridot {

/// Changes to the jobs of one pool in one planning pass. They form one transaction over the job
/// rows, the rows of their teams, and the placement rows of the pools whose hosts they use.
class PlacementStep
{
public:
    PlacementStep(const FleetView &view, const PoolScope &scope);

    /// Record of the job including the changes of this step, or null when there is none.
    const JobRecord *job(const std::string &name) const;
    JobRecord &changeJob(const std::string &name);
    void removeJob(const std::string &name);

    /// Starts a new epoch of the task on the host. The caller must check that the host is usable.
    void place(const std::string &job, unsigned index, const std::string &host,
               const Resources &size, TimePoint now);

    /// Resources that the jobs of the team hold after this step, in declared sizes.
    Resources heldByTeam(const std::string &team);

    bool isFull() const { return m_jobs.size() * 2 + 4 > maximumTransactionRows; }
    bool hasChanges() const { return !m_jobs.empty(); }
    Transaction transaction() const;

private:
    /// Changes to the placement row of one pool.
    struct Placements
    {
        bool used = false; ///< a task was placed on a host of the pool
        std::map<std::string, std::string> lent; ///< new loans: task name to host
        std::set<std::string> returned; ///< names of the tasks whose loans ended
    };

    Resources declaredHolding(const std::string &name, const JobRecord &record) const;
    Resources recordedHolding(const std::string &name, const std::string &team) const;
    void addTeamWrites(Transaction &transaction) const;
    void addPlacementWrites(Transaction &transaction) const;
    void collectLoans(const std::string &name, const std::optional<JobRecord> &record,
                      std::map<std::string, Placements> &pools) const;
    std::string poolOfLoan(const std::string &task, const std::string &host) const;

    const FleetView &m_view;
    const PoolScope &m_scope;
    std::map<std::string, std::optional<JobRecord>> m_jobs;
    std::set<std::string> m_hosts; ///< hosts on which tasks were placed
    std::map<std::string, Resources> m_held; ///< by team: total in the team row
};

} // namespace Peridot
