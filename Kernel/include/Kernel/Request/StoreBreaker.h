#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>

namespace Peridot {

/// Circuit breaker for calls to the store. It opens after consecutive failures. After a backoff it
/// lets a single call pass as a probe, whose success closes it.
class StoreBreaker
{
public:
    static constexpr unsigned failureLimit = 3;
    static constexpr Duration firstBackoff = std::chrono::milliseconds(200);
    static constexpr Duration lastBackoff = std::chrono::seconds(5);

    explicit StoreBreaker(std::uint64_t seed) : m_random(seed) { }

    bool open() const { return m_open; }
    /// Whether a call may pass. When the breaker is open, a true result starts the probe.
    bool mayCall(TimePoint now);
    /// Whether mayCall() would return true, without starting the probe.
    bool wouldPass(TimePoint now) const { return !m_open || now >= m_probeAt; }
    void succeeded();
    void failed(TimePoint now);
    /// Time until the next probe, as a hint for callers.
    Duration retryAfter(TimePoint now) const;

private:
    RandomSource m_random;
    bool m_open = false;
    bool m_probing = false; ///< a probe is in flight
    unsigned m_failures = 0;
    Duration m_backoff{0};
    TimePoint m_probeAt;
};

} // namespace Peridot
