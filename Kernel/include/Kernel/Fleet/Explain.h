#pragma once

#include <Kernel/Fleet/FleetView.h>

namespace Peridot {

struct JobExplanation
{
    JobState state = JobState::Pending;
    PendingReason reason = PendingReason::None;
    std::string detail;
    std::vector<std::string> tasks; ///< one line a task: phase, host, epoch
};

/// Errors: NotFound when neither the manifest nor a row knows the job.
Result<JobExplanation> explainJob(const FleetView &view, const std::string &job);

/// What a host that somebody wants drained waits for.
enum class HostWait {
    Nothing, ///< nobody wants it drained
    Done, ///< drained
    Budget,
    CorrelatedFailure,
    FailureDomainSpread, ///< too few failure domains would remain
    WavePaused,
    HostInDoubt,
    HostFailed,
    LedgerMissing,
    ManifestTooOld,
    NextPass, ///< nothing holds it back; the holder of the pool grants the permit next
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
    {HostWait::HostInDoubt, "host-in-doubt"},
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
    DrainPurpose purpose = DrainPurpose::None; ///< wanted or under way
    HostWait wait = HostWait::Nothing;
    std::string detail;
};

/// Why the host is not drained, or not back yet.
/// Errors: NotFound when there is no row of the host.
Result<HostExplanation> explainHost(const FleetView &view, const std::string &host, TimePoint now);

} // namespace Peridot
