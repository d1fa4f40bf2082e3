#include <Kernel/Request/SlotTable.h>

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Peridot {

std::vector<std::size_t> divideSlots(const std::string &server, unsigned slots,
                                     const std::vector<std::string> &members)
{
    std::vector<std::size_t> owners;
    if (members.empty())
        return owners;
    std::vector<unsigned> counts(members.size(), 0);
    for (unsigned slot = 0; slot < slots; ++slot) {
        const XXH64_hash_t seed = XXH3_64bits_withSeed(server.data(), server.size(), slot);
        const unsigned least = *std::min_element(counts.begin(), counts.end());
        std::size_t best = members.size();
        XXH64_hash_t bestHash = 0;
        for (std::size_t member = 0; member < members.size(); ++member) {
            if (counts[member] != least)
                continue;
            const XXH64_hash_t hash
                = XXH3_64bits_withSeed(members[member].data(), members[member].size(), seed);
            if (best == members.size() || hash > bestHash) {
                best = member;
                bestHash = hash;
            }
        }
        ++counts[best];
        owners.push_back(best);
    }
    return owners;
}

} // namespace Peridot
