#pragma once

#include <string>
#include <string_view>

namespace Peridot {

/// 128-bit XXH3 hash as 32 hexadecimal digits. It guards against mistakes, not against attackers.
std::string hexDigest(std::string_view data);

} // namespace Peridot
