#include "ResourceMath.h"

namespace Peridot {

namespace {

constexpr unsigned samplesBeforeTrust = 3;

// The margin is 10% after many samples and 27% after three. Usage is reported late, so that the
// largest value seen so far is below the true one at first.
constexpr double lastingMargin = 0.1;
constexpr double learningMargin = 0.5;

// A task reserves at least this much whatever it was seen to use.
constexpr double leastProcessors = 0.05;
constexpr double leastMemoryGigabytes = 0.05;

} // namespace

Resources estimatedSize(const Resources &declared, const ObservedUsage &observedUsage)
{
    if (observedUsage.samples == 0)
        return declared;
    const double factor = 1 + lastingMargin + learningMargin / observedUsage.samples;
    const Resources seen{std::max(leastProcessors, observedUsage.processors * factor),
                         std::max(leastMemoryGigabytes, observedUsage.memoryGigabytes * factor),
                         declared.accelerators};
    return observedUsage.samples < samplesBeforeTrust ? largerOf(declared, seen) : seen;
}

} // namespace Peridot
