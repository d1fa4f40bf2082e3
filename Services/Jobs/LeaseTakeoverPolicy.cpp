#include "LeaseTakeoverPolicy.h"

namespace Peridot::Jobs {

namespace {

// Hosts that differ less than this count as equally fast: waiting would cost more than it gains.
constexpr double similarShare = 0.8;

} // namespace

LeaseTakeoverPolicy::LeaseTakeoverPolicy(double processors, Duration pause)
    : m_processors(processors), m_pause(pause)
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
    const bool fastEnough = m_fastest && m_processors >= similarShare * *m_fastest;
    return fastEnough || now >= *m_freeSince + m_pause;
}

} // namespace Peridot::Jobs
