#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <functional>
#include <map>

namespace Peridot::Jobs {

/// Failed runs on one worker since the last success there. Tells whether the worker is likely to be
/// the cause. Failures of a step that fails on other workers, too, and succeeds on none say more
/// about its job than about the worker.
class RunFailures
{
public:
    /// Whether the job of the step is the cause of its failures. Steps are named by their first
    /// task.
    using IsJobAtFault = std::function<bool(const TaskName &step)>;

    void add(const TaskName &step);
    /// Discards all failures, because a run has succeeded on the worker.
    void clear() { m_runsByStep.clear(); }
    /// Remembers that the job caused the failures of the step, when the job is about to be removed.
    void attributeToJob(const TaskName &step);

    /// Whether the worker is likely to fail further runs.
    bool indicateWorker(const IsJobAtFault &isJobAtFault) const;

private:
    /// Number of failed runs by step; 0: the job was the cause.
    std::map<TaskName, unsigned> m_runsByStep;
};

} // namespace Peridot::Jobs
