#include <LibMembership/ProcessClock.h>

#include <ctime>

namespace Peridot {

namespace {

Duration readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

TimePoint processNow()
{
    static const Duration offset = readClock(CLOCK_REALTIME) - readClock(CLOCK_BOOTTIME);
    return TimePoint(readClock(CLOCK_BOOTTIME) + offset);
}

} // namespace Peridot
