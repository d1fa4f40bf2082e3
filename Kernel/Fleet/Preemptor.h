#pragma once

#include "PlacementStep.h"
#include <Kernel/Fleet/PlacementPolicy.h>

namespace Peridot {

/// Frees capacity for a task by throttling or checkpointing less urgent tasks of the same pool.
/// JobSupervisor stops tasks that do not confirm a checkpoint in time.
class Preemptor
{
public:
    Preemptor(const FleetView &view, const PoolScope &scope, TimePoint now, PlacementStep &step,
              bool mayThrottle);

    enum class Result {
        Impossible, ///< no host could hold the task
        Waiting, ///< enough capacity is being freed on a host; the task can be placed later
        Throttled, ///< the task may be placed on the returned candidate at once
    };

    struct Outcome
    {
        Result result = Result::Impossible;
        std::size_t candidate = 0;
    };

    /// Frees capacity for a task of \a size on one of \a candidates. Throttling is preferred to
    /// checkpointing, and then the host on which the fewest tasks are preempted.
    Outcome freeCapacity(const Resources &size, Urgency urgency,
                         std::vector<HostCandidate> &candidates);

private:
    using TaskKey = std::pair<std::string, unsigned>;

    /// Tasks to preempt on one host.
    struct Victims
    {
        std::vector<TaskKey> tasks;
        Resources freed;
        bool throttle = false; ///< throttled; otherwise checkpointed
    };

    /// Capacity of tasks on the host that are being checkpointed or stopped, less what this pass
    /// assigned to waiting tasks.
    Resources unassignedFreedCapacity(const HostCandidate &candidate) const;
    std::optional<Victims> selectVictims(const HostCandidate &candidate, const Resources &size,
                                         Urgency urgency) const;
    std::vector<TaskKey> lessUrgentTasks(const HostCandidate &candidate, Urgency urgency) const;
    void preempt(const Victims &victims);

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
    bool m_mayThrottle;
    std::map<std::string, Resources>
        m_assigned; ///< by host: capacity being freed that waiting tasks will use
    std::set<TaskKey> m_preempted; ///< in this pass
};

} // namespace Peridot
