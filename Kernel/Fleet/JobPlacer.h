#pragma once

#include "PoolBuffer.h"
#include "PoolHealth.h"
#include "QuotaShare.h"
#include "RoomMaker.h"

namespace Peridot {

/// Starts the pending tasks of one pool: quota first, then a host, then room made by less urgent
/// tasks. Tasks that stay pending get a typed reason.
class JobPlacer
{
public:
    JobPlacer(const FleetView &view, const PoolScope &scope, TimePoint now, PlacementStep &step,
              const PlacementPolicy &policy);

    /// Places the pending tasks of \a jobs, which have the same urgency, in their order.
    void place(const std::vector<std::string> &jobs);

    /// Call it after all jobs were placed; see LoanReturn.
    void returnLoan();

private:
    struct Verdict
    {
        JobState state = JobState::Pending;
        PendingReason reason = PendingReason::None;
        std::string detail;
    };

    /// Built on first use: most passes have no pending task.
    PoolBuffer &buffer();
    void collectCandidates();
    void addCandidates(const FleetView::Pool &pool, bool borrowed);
    void placeJob(const std::string &name);
    Verdict judge(const JobRecord &record, const JobSpecification &specification);
    PendingReason placeTask(const std::string &name, unsigned index,
                            const JobSpecification &specification);
    std::optional<std::size_t> findHost(const PlacementRequest &request, bool displaced) const;
    std::optional<std::size_t> findBesideBuffer(const PlacementRequest &request);
    bool mayUseBuffer(Urgency urgency, bool displaced);
    bool mayBorrow(Urgency urgency, bool displaced) const;
    PlacementRequest requestFor(const JobRecord &record, const Resources &size,
                                const TaskRecord &task) const;
    void take(std::size_t candidate, const PlacementRequest &request);
    void report(const std::string &name, const Verdict &verdict);
    bool fitsSomeHost(const Resources &size) const;
    static bool isAtLeastOneOf(const std::vector<Resources> &sizes, const Resources &size);
    void restoreThrottled(const std::string &name);

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
    const PlacementPolicy &m_policy;
    PoolHealth m_health;
    std::optional<PoolBuffer> m_buffer;
    RoomMaker m_roomMaker;
    QuotaShare m_quotaShare;
    std::vector<HostCandidate> m_candidates;
    std::vector<Resources> m_capacities; ///< different capacities of own and spare hosts
    std::vector<Resources> m_refusedSizes; ///< sizes that found no room for the current urgency
    std::vector<Resources> m_reservedSizes; ///< the same for sizes that found only the buffer
    bool m_ownHostsUnavailable = false;
};

} // namespace Peridot
