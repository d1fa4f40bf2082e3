#include "Preemptor.h"

#include "ResourceMath.h"
#include <algorithm>

namespace Peridot {

namespace {

// A throttled task keeps this share of its processors, so that it still makes progress.
constexpr double throttledProcessorShare = 0.25;

} // namespace

Preemptor::Preemptor(const FleetView &view, const PoolScope &scope, TimePoint now,
                     PlacementStep &step, bool mayThrottle)
    : m_view(view), m_scope(scope), m_now(now), m_step(step), m_mayThrottle(mayThrottle)
{
}

Resources Preemptor::unassignedFreedCapacity(const HostCandidate &candidate) const
{
    Resources freed;
    for (const auto &[job, index] : candidate.host->tasks) {
        const auto &task = m_view.job(job)->record->tasks[index];
        if (task.phase == TaskPhase::Checkpointing || task.phase == TaskPhase::Stopping)
            freed = plus(freed, task.size);
    }
    const auto assigned = m_assigned.find(candidate.name);
    return assigned == m_assigned.end() ? freed : minus(freed, assigned->second);
}

std::vector<Preemptor::TaskKey> Preemptor::lessUrgentTasks(const HostCandidate &candidate,
                                                           Urgency urgency) const
{
    std::vector<TaskKey> tasks;
    for (const auto &key : candidate.host->tasks) {
        const auto &record = *m_view.job(key.first)->record;
        const auto phase = record.tasks[key.second].phase;
        const bool movable = phase == TaskPhase::Placed || phase == TaskPhase::Throttled;
        if (movable && record.urgency > urgency && record.pool == m_scope.name
            && record.state != JobState::Cancelling && !m_preempted.contains(key))
            tasks.push_back(key);
    }
    std::stable_sort(tasks.begin(), tasks.end(), [&](const TaskKey &left, const TaskKey &right) {
        const auto &first = *m_view.job(left.first)->record;
        const auto &second = *m_view.job(right.first)->record;
        if (first.urgency != second.urgency)
            return first.urgency > second.urgency;
        // The largest tasks come first, so that few are preempted.
        return first.tasks[left.second].size.memoryGigabytes
               > second.tasks[right.second].size.memoryGigabytes;
    });
    return tasks;
}

std::optional<Preemptor::Victims> Preemptor::selectVictims(const HostCandidate &candidate,
                                                           const Resources &size,
                                                           Urgency urgency) const
{
    const auto tasks = lessUrgentTasks(candidate, urgency);
    if (m_mayThrottle && size.memoryGigabytes <= candidate.free.memoryGigabytes
        && size.accelerators <= candidate.free.accelerators) {
        Victims victims;
        victims.throttle = true;
        for (const auto &key : tasks) {
            const auto &task = m_view.job(key.first)->record->tasks[key.second];
            if (task.phase != TaskPhase::Placed)
                continue;
            victims.tasks.push_back(key);
            victims.freed.processors += task.size.processors * (1 - throttledProcessorShare);
            if (fits(size, plus(candidate.free, victims.freed)))
                return victims;
        }
    }
    Victims victims;
    const auto free = plus(candidate.free, unassignedFreedCapacity(candidate));
    for (const auto &key : tasks) {
        victims.tasks.push_back(key);
        victims.freed = plus(victims.freed, m_view.job(key.first)->record->tasks[key.second].size);
        if (fits(size, plus(free, victims.freed)))
            return victims;
    }
    return std::nullopt;
}

void Preemptor::preempt(const Victims &victims)
{
    for (const auto &key : victims.tasks) {
        m_preempted.insert(key);
        auto &task = m_step.changeJob(key.first).tasks[key.second];
        task.phase = victims.throttle ? TaskPhase::Throttled : TaskPhase::Checkpointing;
        task.since = m_now;
        if (victims.throttle)
            task.size.processors *= throttledProcessorShare;
    }
}

Preemptor::Outcome Preemptor::freeCapacity(const Resources &size, Urgency urgency,
                                           std::vector<HostCandidate> &candidates)
{
    for (const auto &candidate : candidates) {
        if (fits(size, plus(candidate.free, unassignedFreedCapacity(candidate)))) {
            auto &assigned = m_assigned[candidate.name];
            assigned = plus(assigned, size);
            return {Result::Waiting, 0};
        }
    }
    std::optional<Victims> best;
    std::size_t bestCandidate = 0;
    const auto cost = [](const Victims &victims) {
        return std::make_pair(!victims.throttle, victims.tasks.size());
    };
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto victims = selectVictims(candidates[index], size, urgency);
        if (victims && (!best || cost(*victims) < cost(*best))) {
            best = std::move(victims);
            bestCandidate = index;
        }
    }
    if (!best)
        return {};
    preempt(*best);
    auto &candidate = candidates[bestCandidate];
    if (best->throttle) {
        candidate.free = plus(candidate.free, best->freed);
        return {Result::Throttled, bestCandidate};
    }
    auto &assigned = m_assigned[candidate.name];
    assigned = minus(plus(assigned, size), best->freed);
    return {Result::Waiting, 0};
}

} // namespace Peridot
