#pragma once

#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Peridot::Jobs {

/// What the processes that accept jobs do with those of one organisation.
struct OrganisationLimit
{
    unsigned acceptedPermille = 1000; ///< share of its submissions that are accepted
    std::chrono::seconds retryAfter{1}; ///< until a submission that is refused now can be served

    bool operator==(const OrganisationLimit &) const = default;
};

/// What the processes that accept jobs do with those of an overloaded queue.
struct AdmissionLimit
{
    unsigned acceptedPermille = 1000; ///< share of all submissions that are accepted
    /// Until the jobs that wait now will have started; with listed organisations, those of others.
    std::chrono::seconds retryAfter{1};
    /// Share for organisations that are not listed and for callers without one; nothing:
    /// acceptedPermille.
    std::optional<unsigned> othersPermille = {};
    /// Organisations that submit more than their rate, by name.
    std::map<std::string, OrganisationLimit> organisations = {};

    /// Limit of the submissions of \a organisation (empty: none).
    OrganisationLimit of(const std::string &organisation) const;
    bool operator==(const AdmissionLimit &) const = default;
};

/// Row admission/limits, which the scheduler writes: the limits of the overloaded queues, by name.
/// All submissions to the other queues are accepted. The members others_permille and organisations
/// are left out when all organisations have the same share; a reader that does not know them
/// applies accepted_permille to all.
using AdmissionLimits = std::map<std::string, AdmissionLimit>;

constexpr std::string_view admissionPrefix = "admission/";
constexpr std::string_view admissionKey = "admission/limits";

std::string encodeAdmissionLimits(const AdmissionLimits &limits);
/// Errors: InvalidJson; ProtocolViolation when a member is missing, of another type or out of
/// range.
Result<AdmissionLimits> parseAdmissionLimits(std::string_view text);

} // namespace Peridot::Jobs
