#pragma once

#include <LibBase/Time.h>
#include <chrono>

namespace Peridot {

/// Time since the host started, including the time during which it was suspended, which the steady
/// clock leaves out. For time limits that must not be extended by a suspension.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    static time_point now();
};

} // namespace Peridot
