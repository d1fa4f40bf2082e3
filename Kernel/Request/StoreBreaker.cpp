#include <Kernel/Request/StoreBreaker.h>

#include <algorithm>

namespace Peridot {

bool StoreBreaker::mayCall(TimePoint now)
{
    if (!m_open)
        return true;
    if (now < m_probeAt)
        return false;
    // No other call may pass until the probe ends or this time is reached.
    m_probeAt = now + lastBackoff;
    m_probing = true;
    return true;
}

void StoreBreaker::succeeded()
{
    m_open = false;
    m_probing = false;
    m_failures = 0;
    m_backoff = Duration::zero();
}

void StoreBreaker::failed(TimePoint now)
{
    // Calls that were in flight when the breaker opened must not count as failures of a probe.
    if (m_open && !m_probing)
        return;
    m_probing = false;
    ++m_failures;
    if (!m_open && m_failures < failureLimit)
        return;
    m_open = true;
    m_backoff = std::clamp(m_backoff * 2, firstBackoff, lastBackoff);
    m_probeAt = now + m_backoff / 2
                + Duration(m_random.below(static_cast<std::uint64_t>((m_backoff / 2).count())));
}

Duration StoreBreaker::retryAfter(TimePoint now) const
{
    return std::max<Duration>(std::chrono::seconds(1), m_open ? m_probeAt - now : Duration::zero());
}

} // namespace Peridot
