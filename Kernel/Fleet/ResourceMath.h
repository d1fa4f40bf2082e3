#pragma once

#include <Kernel/Fleet/JobRecord.h>
#include <algorithm>

namespace Peridot {

inline Resources plus(const Resources &left, const Resources &right)
{
    return {left.processors + right.processors, left.memoryGigabytes + right.memoryGigabytes,
            left.accelerators + right.accelerators};
}

/// Difference. The number of accelerators does not become negative.
inline Resources minus(const Resources &left, const Resources &right)
{
    return {left.processors - right.processors, left.memoryGigabytes - right.memoryGigabytes,
            left.accelerators - std::min(left.accelerators, right.accelerators)};
}

inline Resources times(const Resources &resources, unsigned count)
{
    return {resources.processors * count, resources.memoryGigabytes * count,
            resources.accelerators * count};
}

inline Resources largerOf(const Resources &left, const Resources &right)
{
    return {std::max(left.processors, right.processors),
            std::max(left.memoryGigabytes, right.memoryGigabytes),
            std::max(left.accelerators, right.accelerators)};
}

/// Size to reserve for a task. Declared sizes are inaccurate, so the largest observed usage
/// replaces them after three samples. A margin is added to it, which shrinks with the number of
/// samples.
Resources estimatedSize(const Resources &declared, const ObservedUsage &observedUsage);

} // namespace Peridot
