#include <LibMembership/ProcessClock.h>

#include <LibBase/BootClock.h>

namespace Peridot {

TimePoint processNow()
{
    static const Duration offset
        = std::chrono::system_clock::now().time_since_epoch() - BootClock::now().time_since_epoch();
    return TimePoint(BootClock::now().time_since_epoch() + offset);
}

} // namespace Peridot
