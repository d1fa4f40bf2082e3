#pragma once

#include "PlacementStep.h"
#include "PoolHealth.h"

namespace Peridot {

/// Supervises the jobs of one pool. It creates, changes and cancels job rows according to the
/// manifest, updates the rows of placed tasks from the reports of their workers, renews task
/// leases, and moves tasks off hosts that are drained, lost or out of memory. JobPlacer places the
/// pending tasks.
///
/// To move a task, the supervisor marks it as Checkpointing. When the worker does not confirm the
/// checkpoint in time, it marks the task as Stopping. The task becomes pending again when the
/// worker reports it as checkpointed or stopped, or when its lease ends. Tasks that Preemptor
/// checkpoints to free capacity for more urgent ones take the same path.
class JobSupervisor
{
public:
    JobSupervisor(const FleetView &view, const PoolScope &scope, TimePoint now,
                  PlacementStep &step);

    /// Updates the row of the job and its tasks from the manifest and the reports.
    void advance(const std::string &name);

    /// Appends the commands to workers that the committed rows require and whose effect the reports
    /// do not show yet.
    void collectCommands(const std::string &name, std::vector<WorkerCommand> &commands) const;

private:
    struct Observation
    {
        const FleetView::Host *host = nullptr;
        const TaskReport *report = nullptr; ///< report on the current epoch of the task, or null
    };

    /// Creates or changes the row of the job so that it matches \a specification.
    void applySpecification(const std::string &name, const JobSpecification &specification);
    /// Stops the tasks of a job that left the manifest or the pool, and removes its row when all
    /// have ended.
    void cancel(const std::string &name);
    void advanceTask(const std::string &name, unsigned index, const JobRecord &record);
    /// Schedules a failed task for a retry, or marks the job as failed.
    void handleFailure(const std::string &name, unsigned index, const TaskRecord &task);
    /// Records that the task has ended and no longer occupies a host.
    void release(const std::string &name, unsigned index, TaskPhase phase);
    /// Checkpoints the task and, when it is not confirmed in time, stops it.
    void vacateHost(const std::string &name, unsigned index, const TaskRecord &task,
                    const Observation &observation);
    void keepRunning(const std::string &name, unsigned index, const TaskRecord &task,
                     const Observation &observation);
    using TaskKey = std::pair<std::string, unsigned>;

    /// Tasks to move off \a host because the observed memory usage of its tasks exceeds its
    /// capacity. A task that uses more memory than the whole host is not moved.
    const std::set<TaskKey> &tasksToEvict(const FleetView::Host &host);
    /// Records the reported usage of the task, and corrects its reservation.
    void updateUsage(const std::string &name, unsigned index, const TaskRecord &task,
                     const Observation &observation);
    Observation observe(const std::string &task, const TaskRecord &record) const;
    bool mustVacate(const FleetView::Host *host) const;

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
    PoolHealth m_health;
    std::unordered_map<const FleetView::Host *, std::set<TaskKey>>
        m_evictedTasks; ///< by host, in this pass
};

/// State of a job according to the phases of its tasks.
JobState stateOfTasks(const JobRecord &record);

} // namespace Peridot
