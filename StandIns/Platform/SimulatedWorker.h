#pragma once

#include "PlatformSettings.h"
#include <Kernel/Fleet/HostReport.h>
#include <LibBase/Time.h>
#include <LibStore/PlatformCodec.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Peridot {

/// A worker that runs tasks under leases. Time is passed in. Commands with an old epoch have no
/// effect; a repeated command has no further one.
class SimulatedWorker
{
public:
    using BehaviourLookup = std::function<JobBehaviour(const std::string &job)>;

    SimulatedWorker(WorkerDescription description, const WorkerTimings &timings,
                    BehaviourLookup behaviourOf, TimePoint now);

    CommandReply apply(TimePoint now, const WorkerCommand &command);
    void tick(TimePoint now);

    /// Report with the tasks. The usage is as old as the usage lag.
    HostReport report(TimePoint now) const;

    /// False while the worker has failed or reboots.
    bool reachable() const { return !m_failed && !m_rebootEnd; }
    /// Loses all running tasks until restore().
    void fail();
    void restore(TimePoint now);
    /// A leaving worker starts no new task.
    void setLeaving(bool leaving) { m_leaving = leaving; }
    /// Whether every task that starts here fails.
    void setFailsTasks(bool fails) { m_failsTasks = fails; }

    const WorkerDescription &description() const { return m_description; }

private:
    struct Task
    {
        TaskReport report;
        Resources actual; ///< usage when it is not throttled
        Resources limit;
        TimePoint leaseEnd;
        std::optional<TimePoint> startTime; ///< while it starts
        std::optional<TimePoint> checkpointTime; ///< while it writes its checkpoint
        std::optional<TimePoint> endTime; ///< set once it has ended
        TimePoint advanced; ///< time up to which the progress counts
        Duration progress{0}; ///< run time done at full speed
        std::optional<Duration> runTime;
        std::vector<std::pair<TimePoint, Resources>> usages; ///< latest changes of the usage
    };

    CommandReply reboot(TimePoint now, std::uint64_t epoch);
    CommandReply start(TimePoint now, const WorkerCommand &command);
    CommandReply endUnknown(TimePoint now, const WorkerCommand &command);
    CommandReply checkpoint(TimePoint now, Task &task);
    CommandReply throttle(TimePoint now, Task &task, const Resources &limit);
    CommandReply stop(TimePoint now, Task &task);
    void begin(TimePoint now, Task &task, const WorkerCommand &command);
    void advance(TimePoint now, Task &task);
    void end(TimePoint now, Task &task, TaskState state);
    void loseTasks();
    static void setUsage(TimePoint now, Task &task, const Resources &usage);
    static Resources usageAt(const Task &task, TimePoint time);
    static double speedOf(const Task &task);
    static bool isActive(const Task &task);

    WorkerDescription m_description;
    WorkerTimings m_timings;
    BehaviourLookup m_behaviourOf;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::uint64_t> m_highestEpochs; ///< by task; kept over a reboot
    std::map<std::string, std::uint64_t> m_endedEpochs; ///< by task; such a start never runs again
    std::uint64_t m_rebootEpoch = 0;
    std::optional<TimePoint> m_rebootEnd;
    std::uint64_t m_bootCount = 1;
    TimePoint m_lastSeen;
    bool m_failed = false;
    bool m_leaving = false;
    bool m_failsTasks = false;
};

} // namespace Peridot
