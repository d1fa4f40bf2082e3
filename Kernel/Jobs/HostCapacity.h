#pragma once

namespace Peridot::Jobs {

/// Whether a process with the first processor capacity schedules about as well as one with the
/// second. Waiting for, or moving to, the faster host would cost more than it gains.
constexpr bool isSimilarCapacity(double processors, double other)
{
    constexpr double similarCapacityRatio = 0.8;
    return processors >= similarCapacityRatio * other;
}

} // namespace Peridot::Jobs
