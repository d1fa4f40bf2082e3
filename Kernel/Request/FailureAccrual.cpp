#include <Kernel/Request/FailureAccrual.h>

#include <algorithm>

namespace Peridot {

namespace {

// Weight of one result in the moving averages, which cover about the last 30 results.
constexpr double averageWeight = 1.0 / 30;

} // namespace

bool FailureAccrual::shouldEject() const
{
    if (m_state != AccrualState::Available)
        return false;
    return m_consecutiveFailures >= consecutiveFailureLimit
           || (m_results >= successRateMinimum && m_successRate < successRateLimit);
}

bool FailureAccrual::succeeded(Duration latency)
{
    m_consecutiveFailures = 0;
    ++m_results;
    m_successRate += averageWeight * (1.0 - m_successRate);
    if (m_latency == Duration::zero())
        m_latency = latency;
    else
        m_latency += Duration(static_cast<Duration::rep>(
            averageWeight * static_cast<double>((latency - m_latency).count())));
    return shouldEject();
}

bool FailureAccrual::failed()
{
    ++m_consecutiveFailures;
    ++m_results;
    m_successRate -= averageWeight * m_successRate;
    return shouldEject();
}

void FailureAccrual::eject(TimePoint now, RandomSource &random)
{
    m_state = AccrualState::Ejected;
    m_backoff = std::clamp(m_backoff * 2, firstBackoff, lastBackoff);
    // Random jitter between half and the whole of the backoff prevents entry processes from
    // probing the server at the same time.
    m_backoffEnd = now + m_backoff / 2
                   + Duration(random.below(static_cast<std::uint64_t>((m_backoff / 2).count())));
}

bool FailureAccrual::backoffPassed(TimePoint now)
{
    if (m_state != AccrualState::Ejected || now < m_backoffEnd)
        return false;
    m_state = AccrualState::ProbeReady;
    return true;
}

void FailureAccrual::probeFinished(TimePoint now, bool success, RandomSource &random)
{
    if (!success) {
        eject(now, random);
        return;
    }
    m_state = AccrualState::Available;
    m_consecutiveFailures = 0;
    m_results = 0;
    m_successRate = 1.0;
    m_backoff = Duration::zero();
}

} // namespace Peridot
