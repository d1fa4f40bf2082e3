#pragma once

#include <Kernel/Jobs/PeakHistory.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Peridot::Jobs {

/// Learns when the load of each pool has its peaks, and expects the next one. The pattern is
/// queues that peak in turn and in a fixed order, so that each peak returns after the same time.
/// After each peak, the pool is expected that had the next peak the last time, after the same lag;
/// with one pool, this is its period. After a peak that did not come as expected, or a wrong guess,
/// nothing is expected in its place until the same has been seen twice.
class PeakForecast
{
public:
    /// Reports what was learned, for logs and metrics.
    using Observer = std::function<void(std::string_view kind, const std::string &detail)>;

    explicit PeakForecast(Observer observe) : m_observe(std::move(observe)) { }

    /// Takes what a previous scheduler has learned.
    void restore(TimePoint now, PeakHistory history);
    /// Takes the load that arrives at each pool, as the number of hosts that it keeps busy, and the
    /// number of hosts of the fleet.
    void observe(TimePoint now, const std::map<std::string, double> &loads, unsigned hosts);
    /// Hosts that each pool with an expected peak needs for it, from the time on when they must
    /// begin to move until the load itself shows the need.
    std::map<std::string, unsigned> expectedHosts(TimePoint now) const;
    /// Most hosts that the pool keeps for a further rise when it has had its peak and another pool
    /// has the next one; nothing at other times.
    std::optional<unsigned> restingHosts(const std::string &pool) const;
    /// Number of changes of the history that are worth storing.
    std::uint64_t changes() const { return m_changes; }
    const PeakHistory &history() const { return m_history; }

private:
    /// Load of a pool, as far as it is not stored.
    struct Load
    {
        Duration observed{0}; ///< for how long the load was observed
        double height = 0; ///< mean load in the current peak
        Duration heightTime{0}; ///< over which height was measured
        std::optional<TimePoint> aboveSince; ///< load over the threshold of a peak
        std::optional<TimePoint> belowSince; ///< load below that of the current peak
        TimePoint endedAt; ///< end of the latest peak
    };
    struct Expectation
    {
        TimePoint begin;
        std::map<std::string, unsigned> hosts;
    };

    void observePool(TimePoint now, const std::string &pool, double load, Duration passed);
    static void updateMean(PeakHistory::Pool &pool, Load &state, double load, Duration passed);
    static void updateHeight(TimePoint now, const PeakHistory::Pool &pool, Load &state, double load,
                             Duration passed);
    void beginPeak(TimePoint now, const std::string &pool, TimePoint begin);
    void endPeak(TimePoint now, const std::string &pool);
    /// Learns that the peak of \a pool has followed the latest one.
    void learnOrder(const std::string &pool, TimePoint begin);
    /// The next peak, by the latest one; nothing when none is expected.
    std::optional<Expectation> nextPeak() const;
    /// Pools that may have the next peak when the order is known in part: those without a peak, or
    /// the one whose latest peak was first.
    std::map<std::string, unsigned> guessedHosts(const std::string &latest) const;
    /// Lag between two successive peaks, as far as it was seen.
    Duration usualLag() const;
    void reportExpectation(TimePoint now);
    void forgetMissedPeak(TimePoint now);
    /// The expectation after the latest peak was wrong.
    void doubtOrder();

    Observer m_observe;
    PeakHistory m_history;
    std::map<std::string, Load> m_loads;
    std::optional<TimePoint> m_observedAt;
    double m_minimumHeight = 0; ///< a load of fewer hosts is no peak
    std::uint64_t m_changes = 0;
    TimePoint m_settledAt; ///< the load of a new scheduler is known from then on
    std::optional<TimePoint> m_reported; ///< begin of the expected peak that was reported last
};

} // namespace Peridot::Jobs
