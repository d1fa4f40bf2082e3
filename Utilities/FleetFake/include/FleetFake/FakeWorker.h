#pragma once

#include <Kernel/Fleet/HostReport.h>
#include <LibBase/Random.h>
#include <map>
#include <optional>

namespace Peridot {

/// How the tasks of one job behave on a worker.
struct TaskBehaviour
{
    Resources usage;
    std::optional<Duration> runTime; ///< nothing: runs until it is stopped
    bool fails = false;
};

struct WorkerTiming
{
    Duration start = std::chrono::milliseconds(100);
    Duration checkpoint = std::chrono::milliseconds(400);
    Duration reboot = std::chrono::seconds(60);
};

/// One worker: tasks under leases and epochs, reboot, failure, and silence.
class FakeWorker
{
public:
    explicit FakeWorker(std::string name, WorkerTiming timing = {});

    void receive(const WorkerCommand &command, const TaskBehaviour &behaviour, TimePoint now);
    /// Moves the worker forward to \a now. Call it at least once before each report.
    void advance(TimePoint now);
    HostReport report(TimePoint now) const;

    /// The worker loses power; its tasks are gone.
    void fail(TimePoint now);
    /// It starts again, with a new boot count.
    void recover();
    /// It goes on, but the platform neither hears it nor reaches it.
    void isolate(bool isolated) { m_isolated = isolated; }
    void setBroken(bool broken) { m_broken = broken; }

    bool isDown() const { return m_down; }
    bool isRebooting() const { return m_rebootEnd.has_value(); }
    unsigned commandedReboots() const { return m_commandedReboots; }
    /// Tasks that were executing when a commanded reboot began.
    unsigned cutTasks() const { return m_cutTasks; }
    bool isExecuting(const std::string &task) const;
    std::vector<std::string> executingTasks() const;
    std::vector<std::string> takeFinished();
    /// Time at which each task began to execute since the last call.
    std::map<std::string, TimePoint> takeStarted();

private:
    struct Task
    {
        TaskState state = TaskState::Stopped;
        std::uint64_t epoch = 0;
        TimePoint startedAt;
        TimePoint leaseEnd;
        std::optional<TimePoint> checkpointEnd;
        TaskBehaviour behaviour;
        bool begun = false;
    };

    static bool executes(const Task &task);
    void start(Task &task, const WorkerCommand &command, const TaskBehaviour &behaviour,
               TimePoint now);
    void beginReboot(const WorkerCommand &command, TimePoint now);
    void advanceTask(const std::string &name, Task &task, TimePoint now);

    std::string m_name;
    WorkerTiming m_timing;
    std::map<std::string, Task> m_tasks;
    std::vector<std::string> m_finished;
    std::map<std::string, TimePoint> m_started;
    std::uint64_t m_bootCount = 1;
    std::optional<TimePoint> m_rebootEnd;
    TimePoint m_lastSeen;
    bool m_down = false;
    bool m_isolated = false;
    bool m_broken = false;
    unsigned m_commandedReboots = 0;
    unsigned m_cutTasks = 0;
};

} // namespace Peridot
