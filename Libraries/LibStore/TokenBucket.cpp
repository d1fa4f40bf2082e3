#include <LibStore/TokenBucket.h>

#include <algorithm>
#include <cmath>

namespace Peridot {

namespace {

// Absorbs rounding of the refill, so that a caller that waits for timeUntil() gets its token.
constexpr double tolerance = 1e-6;

// Callers that share a bucket may pass slightly different times. A larger step back is a change of
// the clock.
constexpr Duration clockTolerance = std::chrono::seconds(1);

} // namespace

bool TokenBucket::tryTake(TimePoint now, double tokens)
{
    refill(now);
    if (m_tokens + tolerance < needed(tokens))
        return false;
    m_tokens -= tokens;
    return true;
}

Duration TokenBucket::timeUntil(TimePoint now, double tokens)
{
    refill(now);
    const double missing = needed(tokens) - m_tokens;
    if (missing <= tolerance)
        return Duration(0);
    return Duration(static_cast<Duration::rep>(std::ceil(missing / m_rate * 1e9)));
}

void TokenBucket::setRate(TimePoint now, double rate, double burst)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

void TokenBucket::refill(TimePoint now)
{
    if (m_started && now > m_refilled)
        m_tokens = std::min(m_burst, m_tokens + toSeconds(now - m_refilled) * m_rate);
    if (!m_started || now > m_refilled || now < m_refilled - clockTolerance)
        m_refilled = now;
    m_started = true;
}

double TokenBucket::needed(double tokens) const
{
    return std::min(tokens, m_burst);
}

} // namespace Peridot
