#pragma once

#include "PlacementStep.h"
#include <Kernel/Fleet/PlacementPolicy.h>

namespace Peridot {

/// Frees capacity for a task by throttling or checkpointing less urgent tasks of the same pool.
/// Tasks are stopped only when they do not confirm a checkpoint in time (JobSupervisor).
class RoomMaker
{
public:
    RoomMaker(const FleetView &view, const PoolScope &scope, TimePoint now, PlacementStep &step,
              bool throttles);

    enum class Result {
        Impossible,
        Waiting, ///< enough capacity is being freed
        Throttled, ///< the task may be placed on the returned candidate at once
    };

    struct Room
    {
        Result result = Result::Impossible;
        std::size_t candidate = 0;
    };

    Room makeRoom(const Resources &size, Urgency urgency, std::vector<HostCandidate> &candidates);

private:
    using TaskKey = std::pair<std::string, unsigned>;

    struct Victims
    {
        std::vector<TaskKey> tasks;
        Resources freed;
        bool throttle = false;
    };

    Resources beingFreed(const HostCandidate &candidate) const;
    std::optional<Victims> victimsOn(const HostCandidate &candidate, const Resources &size,
                                     Urgency urgency) const;
    std::vector<TaskKey> lessUrgentTasks(const HostCandidate &candidate, Urgency urgency) const;
    void displace(const Victims &victims);

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
    bool m_throttles;
    std::map<std::string, Resources> m_promised; ///< by host; of the capacity being freed
    std::set<TaskKey> m_displaced; ///< in this pass
};

} // namespace Peridot
