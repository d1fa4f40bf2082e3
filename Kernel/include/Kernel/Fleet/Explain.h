#pragma once

#include <Kernel/Fleet/FleetView.h>

namespace Peridot {

struct JobExplanation
{
    JobState state = JobState::Pending;
    PendingReason reason = PendingReason::None;
    std::string detail;
    std::vector<std::string> tasks; ///< one line for each task: name, phase, host, epoch, failures
};

/// Explains the state of a job. Errors: NotFound when the job is neither in the manifest nor has a
/// row.
Result<JobExplanation> explainJob(const FleetView &view, const std::string &job);

/// Condition that a host waits for before it is drained or active again.
enum class HostWait {
    Nothing, ///< no drain was requested
    Done, ///< the host is drained
    Budget, ///< as many hosts of the pool are unavailable as its availability budget allows
    CorrelatedFailure, ///< many hosts of a rack or data centre failed a short time ago
    FailureDomainSpread, ///< too few racks would keep an active host
    WavePaused, ///< the operator paused the wave
    HostSuspected, ///< there is no recent report that the host is live
    HostFailed, ///< the host is failed or quarantined
    LedgerMissing, ///< the pool has no row yet
    ManifestTooOld, ///< the pool row was written under a newer configuration than this view has
    NextPass, ///< no obstacle; the lease holder of the pool acts in its next planning pass
    Tasks, ///< tasks are assigned to the host or still executing on it
    RequestsInFlight, ///< requests sent before the drain may still be running
    Reboot, ///< the host has not reported its reboot yet
    ReturnCheck, ///< the host must be live for returnDelay before it becomes active
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
    DrainPurpose purpose = DrainPurpose::None; ///< purpose of the requested or current drain
    HostWait wait = HostWait::Nothing;
    std::string detail;
};

/// Explains why a host that should be drained is not drained yet, or why a host that should return
/// is not active yet. Errors: NotFound when the host has no row.
Result<HostExplanation> explainHost(const FleetView &view, const std::string &host, TimePoint now);

} // namespace Peridot
