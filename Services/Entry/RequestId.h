#pragma once

#include <LibBase/Time.h>
#include <string_view>

namespace Peridot {

constexpr std::size_t requestIdLimit = 64; ///< characters

/// Whether \a text is a UUID of version 7 and the RFC 9562 variant, in its canonical form.
bool isUuidVersion7(std::string_view text);

/// Whether \a text consists of 1 to requestIdLimit letters, digits and "-_.".
bool isPlainRequestId(std::string_view text);

} // namespace Peridot
