#pragma once

#include <LibBase/Time.h>
#include <optional>
#include <string>
#include <string_view>

namespace Peridot {

/// Creation time in a UUID of version 7 (RFC 9562, section 5.7), or nothing when \a text is not
/// one.
std::optional<TimePoint> requestIdTime(std::string_view text);

/// Converts \a text to lower case, so that each id has only one claim row.
std::string canonicalRequestId(std::string_view text);

} // namespace Peridot
