#pragma once

#include <LibBase/Time.h>
#include <LibStore/Transaction.h>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

/// Key prefix of all claim rows.
constexpr std::string_view claimPrefix = "request/";

/// A claim row is deleted this long after the creation time of its request id: the time for which
/// an id is accepted, plus a margin for differences between the clocks of entry processes.
constexpr Duration claimDeletionAge = std::chrono::hours(24) + std::chrono::minutes(10);

/// Next step of the deletion of expired claim rows.
struct ClaimSweepStep
{
    std::optional<Transaction> deletion; ///< deletes the expired rows of the page
    std::string startAfter; ///< key after which the next scan starts; empty: the sweep is complete
};

/// Plans the deletions for one page of a scan of the claim rows in key order. The rows of one
/// service are ordered by creation time, because request ids are UUIDv7. At the first row that has
/// not expired, the sweep therefore skips to the next service. A repeat of a request whose row was
/// deleted is refused because of the age of its id, so it never runs again.
ClaimSweepStep planClaimSweep(const std::vector<Row> &page, bool more, TimePoint now);

} // namespace Peridot
