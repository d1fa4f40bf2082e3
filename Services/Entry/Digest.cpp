#include "Digest.h"

#include <xxhash.h>

namespace Peridot {

std::string hexDigest(std::string_view data)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(data.data(), data.size()));
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : canonical.digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace Peridot
