#include "LoanReturn.h"

#include "PoolBuffer.h"
#include <algorithm>

namespace Peridot {

LoanReturn::LoanReturn(const FleetView &view, const PoolScope &scope, TimePoint now,
                       PlacementStep &step)
    : m_view(view), m_scope(scope), m_now(now), m_step(step)
{
}

double LoanReturn::slotsNeededBy(const FleetView::Pool &spare) const
{
    double needed = PoolBuffer(m_view, {{}, nullptr, &spare}, true).shortage();
    for (const auto &name : spare.jobs) {
        const auto &record = m_view.job(name)->record;
        if (!record || record->urgency == Urgency::Deferrable
            || (record->reason != PendingReason::BufferReserved
                && record->reason != PendingReason::NoCapacity))
            continue;
        needed += static_cast<double>(
            std::count_if(record->tasks.begin(), record->tasks.end(),
                          [](const TaskRecord &task) { return task.phase == TaskPhase::Pending; }));
    }
    for (const auto &[task, host] : spare.placement.loans) {
        const auto loan = m_view.task(task);
        const auto phase = loan ? loan->task().phase : TaskPhase::Pending;
        if (phase == TaskPhase::Checkpointing || phase == TaskPhase::Stopping)
            needed -= 1;
    }
    return needed;
}

std::optional<FleetView::TaskReference>
LoanReturn::returnableTask(const FleetView::Pool &spare,
                           const std::vector<HostCandidate> &candidates) const
{
    std::optional<FleetView::TaskReference> best;
    for (const auto &[task, host] : spare.placement.loans) {
        const auto loan = m_view.task(task);
        if (!loan || loan->job->pool != m_scope.name || loan->job->state == JobState::Cancelling
            || (best && loan->job->urgency <= best->job->urgency))
            continue;
        // The task may have been moved to a host of its own pool in this planning pass.
        const auto *record = m_step.job(loan->job->name);
        if (!record || record->tasks[loan->index].phase != TaskPhase::Placed
            || record->tasks[loan->index].host != host)
            continue;
        const auto &size = record->tasks[loan->index].size;
        if (std::any_of(candidates.begin(), candidates.end(), [&](const HostCandidate &candidate) {
                return !candidate.borrowed && fits(size, candidate.free);
            }))
            best = loan;
    }
    return best;
}

void LoanReturn::returnOneTask(const std::vector<HostCandidate> &candidates)
{
    const auto *spare = sparePool(m_view);
    if (!spare || spare == m_scope.pool || spare->placement.loans.empty() || m_step.isFull())
        return;
    // While hosts of the pool are still due for maintenance, a returned task would have to move
    // again.
    if (std::any_of(candidates.begin(), candidates.end(), [](const HostCandidate &candidate) {
            return !candidate.borrowed && candidate.dueForMaintenance;
        }))
        return;
    const auto loan = returnableTask(*spare, candidates);
    if (!loan || slotsNeededBy(*spare) <= 0)
        return;
    auto &task = m_step.changeJob(loan->job->name).tasks[loan->index];
    task.phase = TaskPhase::Checkpointing;
    task.since = m_now;
}

} // namespace Peridot
