#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibBase/EnumTable.h>
#include <LibBase/Error.h>
#include <memory>
#include <string>

namespace Peridot {

/// State of a claim row.
enum class ClaimState {
    Claimed, ///< the holder may have dispatched the request
    Released, ///< not run; a copy with a higher attempt number may claim
    Done, ///< answered; the answer is recorded
    Unknown, ///< dispatched, and its result is not known
};

constexpr auto claimStateNames = makeEnumTable<ClaimState>({
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Released, "released"},
    {ClaimState::Done, "done"},
    {ClaimState::Unknown, "unknown"},
});

/// Value of the row `request/<service>/<id>`.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::string holder; ///< instance of the entry process
    std::string operation; ///< id of the commit that wrote this value
    std::string fingerprint;
    std::uint64_t callerAttempt = 0; ///< of the copy that wrote the row; 0: it carried none
    TimePoint time;
    RefusalReason reason = RefusalReason::None; ///< Unknown: why
    std::shared_ptr<const RecordedAnswer> answer; ///< Done
};

/// Whether a copy with the number \a callerAttempt may claim a row that was released at the number
/// \a released. A release at a number means that its caller may have been told "not run" about
/// every copy up to that number, so that these must not run any more, and neither must a copy
/// without a number, which may be older. A release without a number was answered with outcome
/// unknown.
inline bool mayFollowRelease(std::uint64_t released, std::uint64_t callerAttempt)
{
    return released == 0 || callerAttempt > released;
}

std::string encodeClaimRecord(const ClaimRecord &record);

/// Errors: InvalidJson; ProtocolViolation with the name of the member at fault in the field.
Result<ClaimRecord> decodeClaimRecord(const std::string &text);

/// Key of the claim row of a request.
std::string claimKey(const std::string &service, const std::string &requestId);

} // namespace Peridot
