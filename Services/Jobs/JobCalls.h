#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/EnumTable.h>
#include <chrono>
#include <optional>
#include <string>

namespace Peridot::Jobs {

enum class CallKind {
    Submit,
    Query, ///< returns the phase of a job
    Cancel,
    Count, ///< returns the number of accepted jobs of a queue without a started task
};

constexpr auto callKindNames = makeEnumTable<CallKind>({
    {CallKind::Submit, "submit"},
    {CallKind::Query, "query"},
    {CallKind::Cancel, "cancel"},
    {CallKind::Count, "count"},
});

/// Decoded and validated request of a caller.
struct JobCall
{
    CallKind kind = CallKind::Query;
    std::string hostName;
    std::string path;
    std::string queue; ///< name of the queue that the path is routed to
    std::string id; ///< job id; empty for Count
    JobSpecification specification; ///< only for Submit
    std::chrono::milliseconds timeout{0}; ///< how long the caller waits for the answer
    std::string key; ///< of the calling organisation; empty: none. Never logged.
};

enum class CallOutcome {
    Accepted,
    Found, ///< CallAnswer::phase holds the phase
    Cancelled,
    Counted, ///< CallAnswer::pending holds the number
    Unauthorized, ///< the key is missing or unknown
    WrongOrganisation, ///< the job was submitted by another organisation
    UnknownQueue,
    UnknownJob,
    InvalidInput,
    TooLarge,
    Overloaded, ///< the submission is refused, as its job would start too late
    AlreadyCancelled, ///< the submission is refused, as its job was cancelled before
    Unavailable, ///< the call had no effect and will have none; the caller may retry it
    Undetermined, ///< a submission or cancellation may have taken effect, or may do so later
};

constexpr auto callOutcomeNames = makeEnumTable<CallOutcome>({
    {CallOutcome::Accepted, "accepted"},
    {CallOutcome::Found, "found"},
    {CallOutcome::Cancelled, "cancelled"},
    {CallOutcome::Counted, "counted"},
    {CallOutcome::Unauthorized, "unauthorized"},
    {CallOutcome::WrongOrganisation, "wrong-organisation"},
    {CallOutcome::UnknownQueue, "unknown-queue"},
    {CallOutcome::UnknownJob, "unknown-job"},
    {CallOutcome::InvalidInput, "invalid-input"},
    {CallOutcome::TooLarge, "too-large"},
    {CallOutcome::Overloaded, "overloaded"},
    {CallOutcome::AlreadyCancelled, "already-cancelled"},
    {CallOutcome::Unavailable, "unavailable"},
    {CallOutcome::Undetermined, "undetermined"},
});

/// Result of a JobCall, from which the response to the caller is encoded.
struct CallAnswer
{
    CallOutcome outcome = CallOutcome::Unavailable;
    JobPhase phase = JobPhase::Queued; ///< only for Found
    unsigned pending = 0; ///< only for Counted: accepted jobs without a started task
    std::chrono::seconds retryAfter{0}; ///< when the caller should retry; 0: not given
    std::string field = {}; ///< name of the invalid field; empty: none
};

} // namespace Peridot::Jobs
