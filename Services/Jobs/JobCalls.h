#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/EnumTable.h>
#include <chrono>
#include <optional>
#include <string>

namespace Peridot::Jobs {

enum class CallKind {
    Submit,
    Query, ///< the phase of a job
    Cancel,
    Count, ///< number of accepted jobs of a queue without a started task
};

constexpr auto callKindNames = makeEnumTable<CallKind>({
    {CallKind::Submit, "submit"},
    {CallKind::Query, "query"},
    {CallKind::Cancel, "cancel"},
    {CallKind::Count, "count"},
});

/// A decoded and validated request of a caller.
struct JobCall
{
    CallKind kind = CallKind::Query;
    std::string hostName;
    std::string path;
    std::string queue; ///< name of the queue that the path is routed to
    std::string id; ///< of the job; empty for Count
    JobSpecification specification; ///< only for Submit
    std::chrono::milliseconds timeout{0}; ///< how long the caller waits for the answer
};

enum class CallOutcome {
    Accepted,
    Found, ///< \c phase holds the phase
    Cancelled,
    Counted, ///< \c pending holds the number
    UnknownQueue,
    UnknownJob,
    InvalidInput,
    TooLarge,
    Unavailable, ///< nothing was or will be accepted; retry after \c retryAfter
    Undetermined, ///< the job may have been accepted
};

constexpr auto callOutcomeNames = makeEnumTable<CallOutcome>({
    {CallOutcome::Accepted, "accepted"},
    {CallOutcome::Found, "found"},
    {CallOutcome::Cancelled, "cancelled"},
    {CallOutcome::Counted, "counted"},
    {CallOutcome::UnknownQueue, "unknown-queue"},
    {CallOutcome::UnknownJob, "unknown-job"},
    {CallOutcome::InvalidInput, "invalid-input"},
    {CallOutcome::TooLarge, "too-large"},
    {CallOutcome::Unavailable, "unavailable"},
    {CallOutcome::Undetermined, "undetermined"},
});

struct CallAnswer
{
    CallOutcome outcome = CallOutcome::Unavailable;
    JobPhase phase = JobPhase::Queued;
    unsigned pending = 0;
    std::chrono::seconds retryAfter{0}; ///< 0: none
    std::string field = {}; ///< name of the invalid input
};

} // namespace Peridot::Jobs
