#pragma once

#include <string>
#include <string_view>

namespace Peridot {

/// 128-bit XXH3 hash as 32 hexadecimal digits. Detects accidental differences; it is not
/// cryptographic.
std::string hexDigest(std::string_view data);

} // namespace Peridot
