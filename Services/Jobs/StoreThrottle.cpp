#include "StoreThrottle.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Several refusals within this time have one cause.
constexpr std::chrono::milliseconds fallInterval{100};
constexpr double fallFactor = 0.7;
constexpr double riseFactorPerSecond = 1.6;
// A smaller share would not tell when the load has ended.
constexpr double smallestShare = 0.02;
constexpr double longestRetryAfter = 10; ///< seconds

} // namespace

void StoreThrottle::rise(TimePoint now)
{
    const double seconds = toSeconds(now - std::exchange(m_risenAt, now));
    if (m_share < 1)
        m_share = std::min(1.0, m_share * std::pow(riseFactorPerSecond, seconds));
}

bool StoreThrottle::admit(TimePoint now)
{
    rise(now);
    m_credit += m_share;
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

void StoreThrottle::refusedByStore(TimePoint now)
{
    rise(now);
    if (now < m_nextFall)
        return;
    m_nextFall = now + fallInterval;
    m_share = std::max(smallestShare, m_share * fallFactor);
}

std::chrono::seconds StoreThrottle::retryAfter() const
{
    const double seconds = std::min(longestRetryAfter, 1 / m_share);
    return std::chrono::ceil<std::chrono::seconds>(std::chrono::duration<double>(seconds));
}

} // namespace Peridot::Jobs
