#pragma once

#include <LibBase/Time.h>
#include <optional>
#include <string>
#include <string_view>

namespace Peridot {

/// Creation time in a UUID of version 7 (RFC 9562, section 5.7), or nothing when \a text is not
/// one.
std::optional<TimePoint> requestIdTime(std::string_view text);

/// \a text in lower case, so that one id has one claim row.
std::string canonicalRequestId(std::string_view text);

} // namespace Peridot
