#pragma once

#include <Kernel/Request/RoutingPolicy.h>

namespace Peridot {

/// Draws two random candidates and chooses the one with the lower load ("power of two choices").
inline ServerIndex leastOfTwo(const std::vector<ServerIndex> &candidates,
                              const std::function<double(ServerIndex)> &loadOf,
                              RandomSource &random)
{
    const ServerIndex first = candidates[random.below(candidates.size())];
    const ServerIndex second = candidates[random.below(candidates.size())];
    return loadOf(second) < loadOf(first) ? second : first;
}

} // namespace Peridot
