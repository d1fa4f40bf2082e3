#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <cstdint>

namespace Peridot {

/// Whether a backend server may receive requests, by the results of earlier ones.
enum class AccrualState {
    Available,
    Ejected, ///< receives no requests until the backoff has passed
    ProbeReady, ///< may receive one request as a probe
    Probing, ///< the probe is in flight
};

constexpr auto accrualStateNames = makeEnumTable<AccrualState>({
    {AccrualState::Available, "available"},
    {AccrualState::Ejected, "ejected"},
    {AccrualState::ProbeReady, "probe-ready"},
    {AccrualState::Probing, "probing"},
});

/// Failure accrual of one backend server. It recommends ejection after consecutive failures or a
/// low success rate. Its owner decides whether to eject the server, because it knows how many
/// backend servers remain.
class FailureAccrual
{
public:
    static constexpr unsigned consecutiveFailureLimit = 5;
    static constexpr double successRateLimit = 0.5;
    /// Number of results before the success rate is used.
    static constexpr unsigned successRateMinimum = 20;
    static constexpr Duration firstBackoff = std::chrono::seconds(1);
    static constexpr Duration lastBackoff = std::chrono::seconds(30);

    /// Records a result. Returns true when the server should be ejected.
    bool succeeded(Duration latency);
    bool failed();

    void eject(TimePoint now, RandomSource &random);
    /// Changes the state from Ejected to ProbeReady if the backoff has passed at \a now. Returns
    /// whether the state has changed.
    bool backoffPassed(TimePoint now);
    void probeStarted() { m_state = AccrualState::Probing; }
    /// Reports the result of the probe. A success makes the server available and resets its state.
    void probeFinished(TimePoint now, bool success, RandomSource &random);

    AccrualState state() const { return m_state; }
    TimePoint backoffEnd() const { return m_backoffEnd; }
    /// Typical duration of a successful request. Failures are excluded, so that a server which
    /// fails quickly does not appear to be fast.
    Duration latency() const { return m_latency; }
    double successRate() const { return m_successRate; }

private:
    bool shouldEject() const;

    AccrualState m_state = AccrualState::Available;
    unsigned m_consecutiveFailures = 0;
    unsigned m_results = 0; ///< number of results since the server became available
    double m_successRate = 1.0;
    Duration m_latency{0};
    Duration m_backoff{0};
    TimePoint m_backoffEnd;
};

} // namespace Peridot
