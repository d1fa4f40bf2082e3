#include <Kernel/Jobs/LeaseTakeoverPolicy.h>

#include "HostCapacity.h"

namespace Peridot::Jobs {

LeaseTakeoverPolicy::LeaseTakeoverPolicy(double processors, Duration delay)
    : m_processors(processors), m_delay(delay)
{
}

void LeaseTakeoverPolicy::observe(TimePoint now, bool leaseIsFree, std::optional<double> fastest)
{
    m_fastest = fastest;
    if (!leaseIsFree)
        m_freeSince.reset();
    else if (!m_freeSince)
        m_freeSince = now;
}

bool LeaseTakeoverPolicy::mayAcquire(TimePoint now) const
{
    if (!m_freeSince)
        return false;
    const bool isFastEnough = m_fastest && isSimilarCapacity(m_processors, *m_fastest);
    return isFastEnough || now >= *m_freeSince + m_delay;
}

} // namespace Peridot::Jobs
