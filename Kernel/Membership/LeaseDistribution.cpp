#include <Kernel/Membership/LeaseDistribution.h>

#include <cstdint>
#include <xxhash.h>

namespace Peridot {

std::string preferredHolder(const std::string &name, const std::vector<std::string> &instances)
{
    std::string preferred;
    std::uint64_t highestWeight = 0;
    for (const auto &instance : instances) {
        std::string text = name;
        text.append(1, '\n').append(instance);
        const std::uint64_t weight = XXH64(text.data(), text.size(), 0);
        if (preferred.empty() || weight > highestWeight
            || (weight == highestWeight && instance < preferred)) {
            preferred = instance;
            highestWeight = weight;
        }
    }
    return preferred;
}

} // namespace Peridot
