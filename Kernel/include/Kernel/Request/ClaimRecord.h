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
    Unknown, ///< dispatched; the result is unknown
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
    std::uint64_t callerAttempt = 0; ///< attempt number of the copy that wrote the row; 0: none
    TimePoint time;
    RefusalReason reason = RefusalReason::None; ///< only in the state Unknown
    std::shared_ptr<const RecordedAnswer> answer; ///< only in the state Done
};

/// Whether a copy with the attempt number \a callerAttempt may claim a row that was released by a
/// copy with the attempt number \a released. After such a release, the caller may have been
/// answered "not run" for every copy up to that number, so these must not run any more. Neither
/// must a copy without a number, which may be older. A release without a number (0) was answered
/// with outcome unknown, so any copy may follow.
inline bool mayClaimAfterRelease(std::uint64_t released, std::uint64_t callerAttempt)
{
    return released == 0 || callerAttempt > released;
}

std::string encodeClaimRecord(const ClaimRecord &record);

/// Errors: InvalidJson; ProtocolViolation with the name of the invalid member in the field.
Result<ClaimRecord> decodeClaimRecord(const std::string &text);

/// Key of the claim row of a request.
std::string claimKey(const std::string &service, const std::string &requestId);

} // namespace Peridot
