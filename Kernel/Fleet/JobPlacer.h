#pragma once

#include "PoolBuffer.h"
#include "PoolHealth.h"
#include "Preemptor.h"
#include "QuotaShare.h"

namespace Peridot {

/// Places the pending tasks of one pool. It checks the quota of the team, then looks for a host
/// with free capacity, and then frees capacity by preempting less urgent tasks. It records a
/// PendingReason for jobs whose tasks stay pending.
class JobPlacer
{
public:
    JobPlacer(const FleetView &view, const PoolScope &scope, TimePoint now, PlacementStep &step,
              const PlacementPolicy &policy);

    /// Places the pending tasks of \a jobs, which must have the same urgency. Jobs with tasks that
    /// lost their host come first; otherwise the order is kept.
    void place(const std::vector<std::string> &jobs);

    /// Moves one task back from the spare pool when that pool needs the capacity; see LoanReturn.
    /// Must be called after place() was called for all jobs.
    void returnLoan();

private:
    struct JobStatus
    {
        JobState state = JobState::Pending;
        PendingReason reason = PendingReason::None;
        std::string detail;
    };

    /// The buffer of the pool. It is computed on first use, because most passes place no task.
    PoolBuffer &buffer();
    void collectCandidates();
    void addCandidates(const FleetView::Pool &pool, bool borrowed);
    void placeJob(const std::string &name);
    /// Returns a status with a reason when no task of the job can ever run under the current
    /// configuration.
    JobStatus checkRunnable(const JobRecord &record, const JobSpecification &specification);
    PendingReason placeTask(const std::string &name, unsigned index,
                            const JobSpecification &specification);
    std::optional<std::size_t> findHost(const PlacementRequest &request, bool displaced) const;
    /// Chooses a host for a task that must leave the buffer free.
    std::optional<std::size_t> findHostOutsideBuffer(const PlacementRequest &request);
    /// Whether a task may use the capacity of the buffer. A displaced task is one that lost its
    /// host.
    bool mayUseBuffer(Urgency urgency, bool displaced);
    /// Whether a task may run on a host of the spare pool.
    bool mayBorrow(Urgency urgency, bool displaced) const;
    PlacementRequest requestFor(const JobRecord &record, const Resources &size,
                                const TaskRecord &task) const;
    void reserveCapacity(std::size_t candidate, const PlacementRequest &request);
    void recordStatus(const std::string &name, const JobStatus &status);
    bool fitsSomeHost(const Resources &size) const;
    /// True when one of \a sizes fits into \a size.
    static bool isAtLeastAnyOf(const std::vector<Resources> &sizes, const Resources &size);
    /// Gives throttled tasks of the job their full size again where their host has free capacity.
    void restoreThrottledTasks(const std::string &name);

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
    const PlacementPolicy &m_policy;
    PoolHealth m_health;
    std::optional<PoolBuffer> m_buffer;
    Preemptor m_preemptor;
    QuotaShare m_quotaShare;
    std::vector<HostCandidate> m_candidates;
    std::vector<Resources> m_capacities; ///< distinct capacities of the pool's and spare hosts
    /// Sizes that found no host in the current call of place().
    std::vector<Resources> m_unplaceableSizes;
    /// Sizes that could not be placed in the current call of place() without using the buffer.
    std::vector<Resources> m_bufferBlockedSizes;
    bool m_hasUnavailableOwnHosts = false;
};

} // namespace Peridot
