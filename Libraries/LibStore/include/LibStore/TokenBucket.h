#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Token bucket that starts full. The time is passed in. Single-threaded.
class TokenBucket
{
public:
    /// \a rate in tokens a second, \a burst in tokens; both must be positive.
    TokenBucket(double rate, double burst) : m_rate(rate), m_burst(burst), m_tokens(burst) { }

    /// Takes \a tokens if the bucket holds as many. A request for more than the burst succeeds when
    /// the bucket is full, and the debt delays later calls.
    bool tryTake(TimePoint now, double tokens = 1);

    /// Time until tryTake() succeeds; 0 when it succeeds now.
    Duration timeUntil(TimePoint now, double tokens = 1);

    /// Changes rate and burst, and keeps the available tokens up to the new burst.
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
