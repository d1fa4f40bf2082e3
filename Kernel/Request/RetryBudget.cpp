#include <Kernel/Request/RetryBudget.h>

#include <algorithm>

namespace Peridot {

void RetryBudget::advance(TimePoint now)
{
    const std::int64_t second
        = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second <= m_second)
        return;
    if (m_firstSecond < 0)
        m_firstSecond = second;
    const auto window = static_cast<std::int64_t>(windowSeconds);
    for (std::int64_t next = std::max(m_second + 1, second - window + 1); next <= second; ++next) {
        Bucket &expired = m_buckets[static_cast<std::size_t>(next) % windowSeconds];
        m_requests -= expired.requests;
        m_retries -= expired.retries;
        expired = Bucket{next, 0, 0};
    }
    m_second = second;
}

void RetryBudget::requestArrived(TimePoint now)
{
    advance(now);
    ++bucket().requests;
    ++m_requests;
}

double RetryBudget::balance(TimePoint now)
{
    advance(now);
    const auto seconds = std::min<std::int64_t>(m_second - m_firstSecond + 1,
                                                static_cast<std::int64_t>(windowSeconds));
    return m_settings.fraction * static_cast<double>(m_requests)
           + m_settings.perSecond * static_cast<double>(seconds) - static_cast<double>(m_retries);
}

bool RetryBudget::withdraw(TimePoint now)
{
    if (balance(now) < 1)
        return false;
    ++bucket().retries;
    ++m_retries;
    return true;
}

} // namespace Peridot
