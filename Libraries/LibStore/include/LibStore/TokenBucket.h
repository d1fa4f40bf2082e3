#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Token bucket with passed-in time. It starts full. Single-threaded.
class TokenBucket
{
public:
    /// \a rate in tokens a second, \a burst in tokens; both must be positive.
    TokenBucket(double rate, double burst) : m_rate(rate), m_burst(burst), m_tokens(burst) { }

    /// Takes \a tokens when there are as many. More than the burst are granted when the bucket is
    /// full, and the debt delays later calls.
    bool tryTake(TimePoint now, double tokens = 1);

    /// Time until tryTake() succeeds; 0 when it succeeds now.
    Duration timeUntil(TimePoint now, double tokens = 1);

    /// Changes rate and burst and keeps the tokens at hand, up to the new burst.
    void setRate(TimePoint now, double rate, double burst);

    double rate() const { return m_rate; }

private:
    void refill(TimePoint now);
    double needed(double tokens) const;

    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_refilled{};
    bool m_started = false;
};

} // namespace Peridot
