#include "RequestValidator.h"

#include "Digest.h"
#include "RequestId.h"
#include <Kernel/Request/RequestIdentifier.h>
#include <array>
#include <charconv>
#include <optional>

namespace Peridot {

namespace {

constexpr std::array<std::string_view, 5> idempotentMethods
    = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 2> nonIdempotentMethods = {"POST", "PATCH"};

constexpr std::array<std::string_view, 4> singleHeaders
    = {"Request-Id", "Peridot-Urgency", "Peridot-Deadline-Ms", "Peridot-Attempt"};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count> &names, std::string_view name)
{
    for (const auto entry : names) {
        if (entry == name)
            return true;
    }
    return false;
}

Refusal badInput(RefusalReason reason, std::string field, const std::string &detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.field = std::move(field);
    refusal.detail = refusal.field + ": " + detail;
    return refusal;
}

// Refusal of a fault that other copies of the request need not have: a header, or the routing table
// of this process. An earlier copy may have run.
Refusal badCopy(const RequestMessage &request, RefusalReason reason, std::string field,
                const std::string &detail)
{
    Refusal refusal = badInput(reason, std::move(field), detail);
    refusal.outcome = isCertainlyFirstCopy(request) ? Outcome::NotRun : Outcome::Unknown;
    return refusal;
}

std::string_view serviceOf(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    if (path.empty() || path.front() != '/')
        return {};
    const std::string_view rest = path.substr(1);
    return rest.substr(0, rest.find('/'));
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

// Method and target contain no line break, so that two different requests never concatenate to the
// same text.
std::string fingerprintOf(const RequestMessage &request)
{
    return hexDigest(request.method + '\n' + request.target + '\n' + hexDigest(request.body));
}

std::optional<Refusal> readRequestId(const RequestMessage &request, RequestDescription &description)
{
    const std::string *id = findHeader(request.headers, "Request-Id");
    if (id == nullptr) {
        if (description.idempotent)
            return std::nullopt;
        return badInput(RefusalReason::MissingRequestId, "Request-Id",
                        "required for " + request.method);
    }
    if (id->size() > requestIdLimit)
        return badInput(RefusalReason::InvalidRequestId, "Request-Id", "longer than 64 characters");
    if (!isPlainRequestId(*id))
        return badInput(RefusalReason::InvalidRequestId, "Request-Id",
                        "only letters, digits, '-', '_' and '.' are allowed");
    if (!description.idempotent && !requestIdTime(*id))
        return badInput(RefusalReason::InvalidRequestId, "Request-Id", "not a UUID of version 7");
    description.requestId = *id;
    return std::nullopt;
}

std::optional<Refusal> readOptions(const RequestMessage &request,
                                   std::chrono::milliseconds maximumDeadline,
                                   RequestDescription &description)
{
    if (const std::string *text = findHeader(request.headers, "Peridot-Urgency")) {
        const auto urgency = urgencyNames.valueOf(*text);
        if (!urgency)
            return badCopy(request, RefusalReason::BadRequest, "Peridot-Urgency",
                           "not urgent, normal or deferrable");
        description.urgency = *urgency;
    }
    if (const std::string *text = findHeader(request.headers, "Peridot-Deadline-Ms")) {
        const auto milliseconds = parseNumber(*text);
        if (!milliseconds || *milliseconds == 0
            || *milliseconds > static_cast<std::uint64_t>(maximumDeadline.count()))
            return badCopy(request, RefusalReason::BadRequest, "Peridot-Deadline-Ms",
                           "not a number from 1 to " + std::to_string(maximumDeadline.count()));
        description.deadline = description.arrival + std::chrono::milliseconds(*milliseconds);
    }
    if (const std::string *text = findHeader(request.headers, "Peridot-Attempt")) {
        const auto attempt = parseNumber(*text);
        if (!attempt || *attempt == 0)
            return badCopy(request, RefusalReason::BadRequest, "Peridot-Attempt",
                           "not a positive number");
        description.callerAttempt = *attempt;
    }
    return std::nullopt;
}

} // namespace

bool isCertainlyFirstCopy(const RequestMessage &request)
{
    const std::string *attempt = findHeader(request.headers, "Peridot-Attempt");
    return contains(idempotentMethods, request.method)
           || (attempt != nullptr && *attempt == "1"
               && countHeaders(request.headers, "Peridot-Attempt") == 1);
}

std::variant<ValidRequest, Refusal> validateRequest(const RequestMessage &request,
                                                    const RoutingSnapshot &snapshot, TimePoint now,
                                                    std::chrono::milliseconds maximumDeadline)
{
    // Two different values would leave it to chance which one the answer is for.
    for (const auto name : singleHeaders) {
        if (countHeaders(request.headers, name) > 1)
            return badCopy(request, RefusalReason::BadRequest, std::string(name),
                           "sent more than once");
    }
    const bool idempotent = contains(idempotentMethods, request.method);
    if (!idempotent && !contains(nonIdempotentMethods, request.method))
        return badInput(RefusalReason::BadRequest, "method", request.method + " is not supported");
    const std::string_view name = serviceOf(request.target);
    const auto service = snapshot.services.find(name);
    if (service == snapshot.services.end())
        return badCopy(request, RefusalReason::UnknownService, "target",
                       "the first path segment names no service");
    ValidRequest valid;
    RequestDescription &description = valid.description;
    description.token = request.serial;
    description.service = service->first;
    description.idempotent = idempotent;
    description.arrival = now;
    description.deadline = now + service->second.route.deadline;
    if (auto refusal = readRequestId(request, description))
        return *refusal;
    if (auto refusal = readOptions(request, maximumDeadline, description))
        return *refusal;
    if (!description.requestId.empty())
        description.fingerprint = fingerprintOf(request);
    valid.gate = service->second.gate;
    return valid;
}

} // namespace Peridot
