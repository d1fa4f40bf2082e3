#pragma once

#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <map>
#include <string>
#include <string_view>

namespace Peridot::Jobs {

/// What the processes that accept jobs do with those of an overloaded queue.
struct AdmissionLimit
{
    unsigned acceptedPermille = 1000; ///< share of the submissions that are accepted
    std::chrono::seconds retryAfter{1}; ///< until the jobs that wait now will have started

    bool operator==(const AdmissionLimit &) const = default;
};

/// Row admission/limits, which the scheduler writes: the limits of the overloaded queues, by name.
/// All submissions to the other queues are accepted.
using AdmissionLimits = std::map<std::string, AdmissionLimit>;

constexpr std::string_view admissionPrefix = "admission/";
constexpr std::string_view admissionKey = "admission/limits";

std::string encodeAdmissionLimits(const AdmissionLimits &limits);
/// Errors: InvalidJson; ProtocolViolation when a member is missing, of another type or out of
/// range.
Result<AdmissionLimits> parseAdmissionLimits(std::string_view text);

} // namespace Peridot::Jobs
