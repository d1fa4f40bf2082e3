#include "StoreClock.h"

namespace Peridot::Jobs {

namespace {

// The local clock may be faster than that of the store by less than one part in so many.
constexpr int driftDivisor = 1000;

} // namespace

void StoreClock::update(std::int64_t milliseconds, TimePoint now)
{
    if (milliseconds == 0 || milliseconds <= at(now))
        return;
    m_milliseconds = milliseconds;
    m_handledAt = now;
}

std::int64_t StoreClock::at(TimePoint time) const
{
    if (m_milliseconds == 0)
        return 0;
    Duration elapsed = time - m_handledAt;
    elapsed -= elapsed / driftDivisor;
    return m_milliseconds + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
}

} // namespace Peridot::Jobs
