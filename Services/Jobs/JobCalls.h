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
    Count, ///< accepted jobs of a queue that have not begun
};

constexpr auto callKindNames = makeEnumTable<CallKind>({
    {CallKind::Submit, "submit"},
    {CallKind::Query, "query"},
    {CallKind::Cancel, "cancel"},
    {CallKind::Count, "count"},
});

/// One request of a caller, decoded and checked.
struct JobCall
{
    CallKind kind = CallKind::Query;
    std::string hostName;
    std::string path;
    std::string queue; ///< that the path led to
    std::string id; ///< of the job; empty for Count
    JobSpecification specification; ///< of Submit
    std::chrono::milliseconds patience{0}; ///< how long the caller waits for the answer
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
    Unavailable, ///< nothing was or will be accepted; come back after \c retryAfter
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
    std::string field = {}; ///< input at fault
};

} // namespace Peridot::Jobs
