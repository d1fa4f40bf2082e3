#pragma once

#include "PlanSupport.h"

namespace Peridot {

/// Changes to the jobs of one pool, collected into one transaction over the job rows, the quota
/// rows of their teams, and the placement rows of the pools whose hosts they use.
class PlacementStep
{
public:
    PlacementStep(const FleetView &view, const PoolScope &scope);

    /// Record of the job as this step leaves it, or nothing when there is none.
    const JobRecord *job(const std::string &name) const;
    JobRecord &changeJob(const std::string &name);
    void removeJob(const std::string &name);

    /// Starts a new epoch of the task on the host. The caller checked that the host is usable.
    void place(const std::string &job, unsigned index, const std::string &host,
               const Resources &size, TimePoint now);

    /// What the team holds after this step, in declared sizes.
    Resources heldByTeam(const std::string &team);

    bool isFull() const { return m_jobs.size() * 2 + 4 > maximumTransactionRows; }
    bool hasChanges() const { return !m_jobs.empty(); }
    Transaction transaction() const;

private:
    struct Placements
    {
        bool used = false; ///< a task was placed on a host of the pool
        std::map<std::string, std::string> lent;
        std::set<std::string> returned;
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
    std::set<std::string> m_hosts; ///< that received a task
    std::map<std::string, Resources> m_held; ///< by team; of the rows
};

} // namespace Peridot
