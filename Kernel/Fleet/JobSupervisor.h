#pragma once

#include "PlacementStep.h"
#include "PoolHealth.h"

namespace Peridot {

/// Keeps the rows of existing tasks in step with the reports of their workers, and the jobs in step
/// with the manifest. Starting pending tasks is the duty of JobPlacer.
class JobSupervisor
{
public:
    JobSupervisor(const FleetView &view, const PoolScope &scope, TimePoint now,
                  PlacementStep &step);

    void advance(const std::string &name);

    /// Commands that the committed rows ask for and the reports do not yet show.
    void command(const std::string &name, std::vector<WorkerCommand> &commands) const;

private:
    struct Observation
    {
        const FleetView::Host *host = nullptr;
        const TaskReport *report = nullptr; ///< of the current epoch
    };

    void adopt(const std::string &name, const JobSpecification &specification);
    void cancel(const std::string &name);
    void advanceTask(const std::string &name, unsigned index, const JobRecord &record);
    void fail(const std::string &name, unsigned index, const TaskRecord &task);
    void release(const std::string &name, unsigned index, TaskPhase phase);
    void leaveHost(const std::string &name, unsigned index, const TaskRecord &task,
                   const Observation &seen);
    void keepRunning(const std::string &name, unsigned index, const TaskRecord &task,
                     const Observation &seen);
    using TaskKey = std::pair<std::string, unsigned>;

    /// Tasks that leave the host because its tasks were seen to use more memory than it has. A task
    /// that is larger than the host stays.
    const std::set<TaskKey> &displacedBy(const FleetView::Host &host);
    void learn(const std::string &name, unsigned index, const TaskRecord &task,
               const Observation &seen);
    Observation observe(const std::string &task, const TaskRecord &record) const;
    bool mustLeave(const FleetView::Host *host) const;

    const FleetView &m_view;
    const PoolScope &m_scope;
    TimePoint m_now;
    PlacementStep &m_step;
    PoolHealth m_health;
    std::unordered_map<const FleetView::Host *, std::set<TaskKey>> m_displaced; ///< by this pass
};

/// State of a job that follows from its tasks.
JobState stateOfTasks(const JobRecord &record);

} // namespace Peridot
