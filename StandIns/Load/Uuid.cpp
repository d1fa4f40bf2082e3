#include "Uuid.h"

#include <chrono>
#include <cstdio>

namespace Peridot {

std::string makeUuidVersion7(RandomSource &random)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = static_cast<unsigned long long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    const auto a = static_cast<unsigned>(random.below(0x1000));
    const auto b = static_cast<unsigned>(0x8000 + random.below(0x4000));
    const auto c = static_cast<unsigned long long>(random.below(std::uint64_t(1) << 48U));
    char text[64];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7%03x-%04x-%012llx", milliseconds >> 16U,
                  milliseconds & 0xffffU, a, b, c);
    return text;
}

} // namespace Peridot
