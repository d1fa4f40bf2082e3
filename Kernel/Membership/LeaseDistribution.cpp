#include <Kernel/Membership/LeaseDistribution.h>

#include <cstdint>
#include <xxhash.h>

namespace Peridot {

std::string preferredHolder(const std::string &name, const std::vector<std::string> &instances)
{
    std::string best;
    std::uint64_t bestWeight = 0;
    for (const auto &instance : instances) {
        std::string text = name;
        text.append(1, '\n').append(instance);
        const std::uint64_t weight = XXH64(text.data(), text.size(), 0);
        if (best.empty() || weight > bestWeight || (weight == bestWeight && instance < best)) {
            best = instance;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace Peridot
