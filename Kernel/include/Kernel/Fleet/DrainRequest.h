#pragma once

#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <string>
#include <string_view>

namespace Peridot {

/// Row drain-request/<host>: the host should be drained while the row exists. It is
/// separate from the host row because operators do not hold the lease of the pool.
struct DrainRequest
{
    std::string host;
    std::string requestedBy;
    std::string reason;
    TimePoint requestedAt;
};

/// Errors: InvalidJson, MissingField; the field is the path inside the row.
Result<DrainRequest> parseDrainRequest(std::string_view text);
std::string encodeDrainRequest(const DrainRequest &request);

} // namespace Peridot
