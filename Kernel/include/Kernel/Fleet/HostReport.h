#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <LibBase/EnumTable.h>
#include <LibBase/Time.h>
#include <string>
#include <vector>

namespace Peridot {

/// State of a host in the platform's list, which lags behind the actual state.
enum class HostLiveness { Live, Leaving, Gone };

constexpr auto hostLivenessNames = makeEnumTable<HostLiveness>({
    {HostLiveness::Live, "live"},
    {HostLiveness::Leaving, "leaving"},
    {HostLiveness::Gone, "gone"},
});

enum class TaskState { Running, Throttled, Checkpointed, Finished, Failed, Stopped };

constexpr auto taskStateNames = makeEnumTable<TaskState>({
    {TaskState::Running, "running"},
    {TaskState::Throttled, "throttled"},
    {TaskState::Checkpointed, "checkpointed"},
    {TaskState::Finished, "finished"},
    {TaskState::Failed, "failed"},
    {TaskState::Stopped, "stopped"},
});

/// Report of a worker on one task. The usage lags behind the actual one.
struct TaskReport
{
    std::string task; ///< "<job>/<index>"
    TaskState state = TaskState::Running;
    Resources usage;
    std::uint64_t epoch = 0; ///< epoch of the command that started the task
};

/// Latest observation of one host through the platform.
struct HostReport
{
    std::string host;
    HostLiveness liveness = HostLiveness::Live;
    TimePoint lastSeen; ///< when the platform last heard from the host
    std::uint64_t bootCount = 0; ///< grows with every reboot
    std::vector<TaskReport> tasks;
};

enum class WorkerCommandKind { Start, Checkpoint, Throttle, Stop, Reboot };

constexpr auto workerCommandKindNames = makeEnumTable<WorkerCommandKind>({
    {WorkerCommandKind::Start, "start"},
    {WorkerCommandKind::Checkpoint, "checkpoint"},
    {WorkerCommandKind::Throttle, "throttle"},
    {WorkerCommandKind::Stop, "stop"},
    {WorkerCommandKind::Reboot, "reboot"},
});

/// Idempotent command to a worker. A worker ignores a command whose epoch is lower than the highest
/// one it has seen for the same task, so that a delayed command of a previous lease holder has no
/// effect. It ignores a Start of an epoch that has already finished, failed, been checkpointed or
/// been stopped, and reports that state instead. For Reboot, the epoch is the target boot count: a
/// worker that has reached it ignores the command, so that a repeated command causes one reboot.
struct WorkerCommand
{
    std::string host;
    WorkerCommandKind kind = WorkerCommandKind::Start;
    std::string task; ///< empty for Reboot
    std::uint64_t epoch = 0;
    Resources limit; ///< resources that the task may use; for Start and Throttle
    TimePoint leaseEnd; ///< the worker stops the task unless the lease is renewed by another Start
};

} // namespace Peridot
