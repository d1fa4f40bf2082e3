#include "LeaseTakeoverPolicy.h"

namespace Peridot::Jobs {

namespace {

// A host with at least this share of the fastest host's capacity does not wait: the delay would
// cost more than the faster host gains.
constexpr double similarCapacityRatio = 0.8;

} // namespace

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
    const bool isFastEnough = m_fastest && m_processors >= similarCapacityRatio * *m_fastest;
    return isFastEnough || now >= *m_freeSince + m_delay;
}

} // namespace Peridot::Jobs
