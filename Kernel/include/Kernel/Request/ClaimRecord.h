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
    Released, ///< not run; another claim may follow
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
    TimePoint time;
    RefusalReason reason = RefusalReason::None; ///< Unknown: why
    std::shared_ptr<const RecordedAnswer> answer; ///< Done
};

std::string encodeClaimRecord(const ClaimRecord &record);

/// Errors: InvalidJson; ProtocolViolation with the name of the member at fault in the field.
Result<ClaimRecord> decodeClaimRecord(const std::string &text);

/// Key of the claim row of a request.
std::string claimKey(const std::string &service, const std::string &requestId);

} // namespace Peridot
