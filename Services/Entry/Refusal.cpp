#include "Refusal.h"

#include <LibBase/Json.h>
#include <algorithm>

namespace Peridot {

namespace {

int statusOfNotRun(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::MissingRequestId:
    case RefusalReason::InvalidRequestId:
    case RefusalReason::FingerprintMismatch:
        return 400;
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::OverShare:
        return 429;
    default:
        return 503;
    }
}

int statusOfUnknown(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::InvalidRequestId:
    case RefusalReason::FingerprintMismatch:
        return 400;
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::BackendTimeout:
    case RefusalReason::DeadlineExceeded:
        return 504;
    case RefusalReason::BackendConnectionLost:
    case RefusalReason::TruncatedAnswer:
    case RefusalReason::HolderLost:
        return 502;
    default:
        return 503;
    }
}

std::string retryAfterSeconds(Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

} // namespace

int statusOf(Outcome outcome, RefusalReason reason)
{
    switch (outcome) {
    case Outcome::Answer:
        return 200;
    case Outcome::NotRun:
        return statusOfNotRun(reason);
    case Outcome::InProgress:
        return 409;
    case Outcome::Unknown:
        return statusOfUnknown(reason);
    }
    return 502;
}

ResponseMessage formatRefusal(const Refusal &refusal)
{
    Json::Value body;
    body["outcome"] = std::string(outcomeNames.nameOf(refusal.outcome));
    body["reason"] = std::string(refusalReasonNames.nameOf(refusal.reason));
    body["request_id"] = refusal.requestId;
    body["detail"] = refusal.detail;
    if (!refusal.field.empty())
        body["field"] = refusal.field;
    ResponseMessage response;
    response.status
        = refusal.status != 0 ? refusal.status : statusOf(refusal.outcome, refusal.reason);
    response.headers = {{"Content-Type", "application/json"},
                        {"Peridot-Outcome", body["outcome"].asString()},
                        {"Retry-After", retryAfterSeconds(refusal.retryAfter)}};
    response.body = writeJson(body) + '\n';
    response.closeConnection = refusal.closeConnection;
    return response;
}

Refusal refusalOf(InputFault fault, const std::string &detail)
{
    Refusal refusal;
    refusal.reason = fault == InputFault::BodyTooLarge ? RefusalReason::BodyTooLarge
                                                       : RefusalReason::BadRequest;
    refusal.closeConnection = true;
    refusal.detail = std::string(inputFaultNames.nameOf(fault));
    // Only the parser's own errors say more than the fault; exceeded limits do not.
    if (fault == InputFault::MalformedRequest && !detail.empty())
        refusal.detail += ": " + detail;
    switch (fault) {
    case InputFault::MalformedRequest:
        refusal.field = "message";
        break;
    case InputFault::HeaderBlockTooLarge:
    case InputFault::TooManyHeaders:
    case InputFault::HeaderTooLong:
        refusal.field = "headers";
        break;
    case InputFault::TargetTooLong:
        refusal.field = "target";
        break;
    case InputFault::BodyTooLarge:
        refusal.field = "body";
        break;
    case InputFault::ReadTimeout:
        // The request was not read whole; a copy of it may have run through another connection.
        refusal.outcome = Outcome::Unknown;
        refusal.field = "message";
        // A slow network is no fault of the input.
        refusal.status = 503;
        break;
    case InputFault::UpgradeRequested:
        refusal.field = "Upgrade";
        break;
    case InputFault::ConnectionEnded:
    case InputFault::TooManyRequests:
        // Only servers with a budget report these.
        refusal.status = 503;
        break;
    }
    return refusal;
}

} // namespace Peridot
