#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Peridot {

/// Percent-encodes \a text for use in a path. Slashes are kept when \a keepSlashes is set.
std::string percentEncode(std::string_view text, bool keepSlashes);

/// Reverses percentEncode(). Nothing when an escape is malformed.
std::optional<std::string> percentDecode(std::string_view text);

} // namespace Peridot
