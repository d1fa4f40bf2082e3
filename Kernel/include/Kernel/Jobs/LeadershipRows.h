#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <string>
#include <string_view>

namespace Peridot::Jobs {

/// Row candidate/<host>: a process that can become the scheduler.
struct SchedulerCandidate
{
    std::string instance; ///< name of the process, unique for each start
    /// Share of a core that is available to the process, times the relative speed of a core.
    double processors = 1;
    TimePoint startedAt; ///< by the clock of the process
    bool stopping = false;
    /// Address (host:port) at which the process passes calls on to the store; empty: it does not.
    std::string relayAddress = {};

    bool operator==(const SchedulerCandidate &) const = default;
};

enum class TransferPhase {
    Proposed, ///< the leader asks the successor to load the rows of the jobs
    Prepared, ///< the successor has loaded them, and the leader may release the lease
};

constexpr auto transferPhaseNames = makeEnumTable<TransferPhase>({
    {TransferPhase::Proposed, "proposed"},
    {TransferPhase::Prepared, "prepared"},
});

/// Row transfer/scheduler: the latest transfer of the scheduler lease.
struct LeadershipTransferRow
{
    std::string from; ///< instance of the leader
    std::string to; ///< instance of the successor
    TransferPhase phase = TransferPhase::Proposed;

    bool operator==(const LeadershipTransferRow &) const = default;
};

constexpr std::string_view candidatePrefix = "candidate/";
constexpr std::string_view transferPrefix = "transfer/";
constexpr std::string_view transferKey = "transfer/scheduler";

std::string candidateKey(std::string_view host);

std::string encodeCandidate(const SchedulerCandidate &candidate);
/// Errors: InvalidJson; ProtocolViolation when a member is missing or of another type.
Result<SchedulerCandidate> parseCandidate(std::string_view text);

std::string encodeTransfer(const LeadershipTransferRow &transfer);
/// Errors: InvalidJson; ProtocolViolation when a member is missing or of another type.
Result<LeadershipTransferRow> parseTransfer(std::string_view text);

} // namespace Peridot::Jobs
