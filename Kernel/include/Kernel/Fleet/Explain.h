#pragma once

#include <Kernel/Fleet/FleetView.h>

namespace Peridot {

struct JobExplanation
{
    JobState state = JobState::Pending;
    PendingReason reason = PendingReason::None;
    std::string detail;
    std::vector<std::string> tasks; ///< one line for each task: phase, host, epoch
};

/// Explains the state of a job. Errors: NotFound when the job is neither in the manifest nor has a
/// row.
Result<JobExplanation> explainJob(const FleetView &view, const std::string &job);

/// What a host that is to be drained, or to become active again, waits for.
enum class HostWait {
    Nothing, ///< no drain was requested
    Done, ///< drained
    Budget,
    CorrelatedFailure,
    FailureDomainSpread, ///< too few failure domains would remain
    WavePaused,
    HostSuspected,
    HostFailed,
    LedgerMissing,
    ManifestTooOld,
    NextPass, ///< nothing; the holder of the pool grants the permit in its next planning pass
    Tasks,
    RequestsInFlight,
    Reboot,
    ReturnCheck,
};

constexpr auto hostWaitNames = makeEnumTable<HostWait>({
    {HostWait::Nothing, "nothing"},
    {HostWait::Done, "done"},
    {HostWait::Budget, "budget"},
    {HostWait::CorrelatedFailure, "correlated-failure"},
    {HostWait::FailureDomainSpread, "failure-domain-spread"},
    {HostWait::WavePaused, "wave-paused"},
    {HostWait::HostSuspected, "host-in-doubt"},
    {HostWait::HostFailed, "host-failed"},
    {HostWait::LedgerMissing, "ledger-missing"},
    {HostWait::ManifestTooOld, "manifest-too-old"},
    {HostWait::NextPass, "next-pass"},
    {HostWait::Tasks, "tasks"},
    {HostWait::RequestsInFlight, "requests-in-flight"},
    {HostWait::Reboot, "reboot"},
    {HostWait::ReturnCheck, "return-check"},
});

struct HostExplanation
{
    HostState state = HostState::Active;
    DrainPurpose purpose = DrainPurpose::None; ///< of the requested or current drain
    HostWait wait = HostWait::Nothing;
    std::string detail;
};

/// Explains why the host is not drained, or not active again yet. Errors: NotFound when there is no
/// row of the host.
Result<HostExplanation> explainHost(const FleetView &view, const std::string &host, TimePoint now);

} // namespace Peridot
