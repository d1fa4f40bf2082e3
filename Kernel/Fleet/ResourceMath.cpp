#include "ResourceMath.h"

namespace Peridot {

namespace {

// With fewer samples, the declared size is reserved unless the estimate is larger.
constexpr unsigned minimumSamples = 3;

// Margin above the largest observed usage: 10% after many samples and 27% after three. Usage is
// reported late, so the largest value observed at first is below the actual one.
constexpr double steadyMargin = 0.1;
constexpr double initialMargin = 0.5;

// Minimum reservation of a task, whatever usage was observed.
constexpr double minimumProcessors = 0.05;
constexpr double minimumMemoryGigabytes = 0.05;

} // namespace

Resources estimatedSize(const Resources &declared, const ObservedUsage &observedUsage)
{
    if (observedUsage.samples == 0)
        return declared;
    const double factor = 1 + steadyMargin + initialMargin / observedUsage.samples;
    const Resources estimated{
        std::max(minimumProcessors, observedUsage.processors * factor),
        std::max(minimumMemoryGigabytes, observedUsage.memoryGigabytes * factor),
        declared.accelerators};
    return observedUsage.samples < minimumSamples ? largerOf(declared, estimated) : estimated;
}

} // namespace Peridot
