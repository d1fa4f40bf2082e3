#pragma once

#include <chrono>

namespace Peridot {

/// Length of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Point in time on a clock that the caller passes in, as nanoseconds since the epoch of that
/// clock. Kernel code never reads a clock itself, so that tests can run it on a simulated one.
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Milliseconds since the epoch, the unit used in stored rows and messages.
inline std::int64_t toUnixMilliseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

inline TimePoint fromUnixMilliseconds(std::int64_t milliseconds)
{
    return TimePoint(std::chrono::milliseconds(milliseconds));
}

/// Length of time in seconds, for logs, metrics and reports.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Peridot
