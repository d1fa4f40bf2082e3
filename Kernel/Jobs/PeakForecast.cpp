#include <Kernel/Jobs/PeakForecast.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Peridot::Jobs {

namespace {

// A peak is a load over this multiple of the pool's own mean, and over this part of all hosts, so
// that the chance of few arrivals is not taken for one.
constexpr double peakFactor = 2;
constexpr double minimumFleetShare = 0.04;
constexpr double minimumPeakHosts = 4;
// The load must be over or below its threshold for this long: two observations.
constexpr std::chrono::milliseconds confirmation{100};
// A peak is over when the load is below this part of its height.
constexpr double endFraction = 0.5;
// Time constant of the mean: about one period of queues that peak in turn.
constexpr std::chrono::seconds meanPeriod{20};
// A load that stays high for longer is no peak but a new level.
constexpr std::chrono::seconds longestPeak{10};
// A load that rises again so soon goes on with the same peak.
constexpr std::chrono::milliseconds shortestPause{1500};
// Peaks that are further apart are not taken to follow each other.
constexpr std::chrono::seconds longestLag{60};
// Hosts begin to move this long before the time at which the peak is expected to be seen: a move
// takes 1.5 s, until the new worker is listed and has answered a poll 0.4 s, and the rise is seen
// after 0.3 s. The rest is for peaks that come early.
constexpr std::chrono::milliseconds lead{2200};
// A peak that is later than this is not expected any more. Peaks that last 4 to 5 s begin up to a
// second late.
constexpr std::chrono::milliseconds tolerance{1200};
// For this long after the begin of a peak, the load does not yet show the whole need.
constexpr std::chrono::milliseconds rampTime{1000};
// A pool that has had its peak keeps idle hosts for rises up to this part of the height.
constexpr double restingFraction = 0.1;
// Time after which a new scheduler knows the rate of arrivals.
constexpr std::chrono::milliseconds settlingTime{1000};

unsigned wholeHosts(double hosts)
{
    return static_cast<unsigned>(std::ceil(hosts));
}

} // namespace

void PeakForecast::restore(TimePoint now, PeakHistory history)
{
    m_history = std::move(history);
    m_loads.clear();
    for (const auto &[name, pool] : m_history.pools) {
        m_loads[name].observed = meanPeriod;
        m_loads[name].height = pool.height;
    }
    const auto latest = m_history.pools.find(m_history.latest);
    if (latest == m_history.pools.end() || !latest->second.begin)
        m_history.latest.clear();
    m_settledAt = now + settlingTime;
}

void PeakForecast::observe(TimePoint now, const std::map<std::string, double> &loads,
                           unsigned hosts)
{
    m_minimumHeight = std::max(minimumFleetShare * hosts, minimumPeakHosts);
    const Duration passed = m_observedAt ? now - *m_observedAt : Duration{0};
    m_observedAt = now;
    if (now < m_settledAt)
        return;
    for (const auto &[pool, load] : loads)
        observePool(now, pool, load, passed);
    const auto isGone = [&](const auto &entry) {
        return !loads.contains(entry.first);
    };
    std::erase_if(m_history.pools, isGone);
    std::erase_if(m_loads, isGone);
    forgetMissedPeak(now);
    reportExpectation(now);
}

void PeakForecast::updateMean(PeakHistory::Pool &pool, Load &state, double load, Duration passed)
{
    if (passed == Duration{0}) {
        pool.mean = state.observed == Duration{0} ? load : pool.mean;
        return;
    }
    state.observed += passed;
    const double period = toSeconds(std::min<Duration>(state.observed, meanPeriod));
    pool.mean += (load - pool.mean) * std::min(toSeconds(passed) / period, 1.0);
}

void PeakForecast::updateHeight(TimePoint now, const PeakHistory::Pool &pool, Load &state,
                                double load, Duration passed)
{
    if (now < *pool.begin + rampTime) {
        if (state.heightTime == Duration{0})
            state.height = std::max(state.height, load);
        return;
    }
    state.heightTime += passed;
    const double weight = toSeconds(passed) / std::max(toSeconds(state.heightTime), 0.001);
    state.height += (load - state.height) * std::min(weight, 1.0);
}

void PeakForecast::observePool(TimePoint now, const std::string &name, double load, Duration passed)
{
    PeakHistory::Pool &pool = m_history.pools[name];
    Load &state = m_loads[name];
    const double threshold = std::max(peakFactor * pool.mean, m_minimumHeight);
    updateMean(pool, state, load, passed);
    if (!pool.inPeak) {
        if (load <= threshold)
            state.aboveSince.reset();
        else if (!state.aboveSince)
            state.aboveSince = now;
        if (state.aboveSince && now >= *state.aboveSince + confirmation)
            beginPeak(now, name, *state.aboveSince);
        return;
    }
    if (load >= endFraction * state.height) {
        state.belowSince.reset();
        updateHeight(now, pool, state, load, passed);
    } else if (!state.belowSince) {
        state.belowSince = now;
    }
    const bool isLevel = now > *pool.begin + longestPeak;
    if (isLevel) {
        pool.mean = load;
        state.height = 0;
    }
    if (isLevel || (state.belowSince && now >= *state.belowSince + confirmation))
        endPeak(now, name);
}

void PeakForecast::beginPeak(TimePoint now, const std::string &name, TimePoint begin)
{
    PeakHistory::Pool &pool = m_history.pools.at(name);
    Load &state = m_loads.at(name);
    state.aboveSince.reset();
    state.belowSince.reset();
    pool.inPeak = true;
    if (pool.begin && begin < state.endedAt + shortestPause)
        return; // the same peak goes on
    const auto expected = nextPeak();
    const bool wasExpected
        = expected && expected->hosts.contains(name) && begin + lead >= expected->begin;
    if (expected && !expected->hosts.contains(name))
        doubtOrder();
    m_observe("peak-begun", name + (wasExpected ? ": expected" : ": not expected"));
    learnOrder(name, begin);
    state.height = 0;
    state.heightTime = Duration{0};
    pool.begin = begin;
    m_history.latest = name;
    ++m_changes;
    m_reported.reset();
    reportExpectation(now);
}

void PeakForecast::learnOrder(const std::string &name, TimePoint begin)
{
    const auto previous = m_history.pools.find(m_history.latest);
    if (previous == m_history.pools.end() || begin > *previous->second.begin + longestLag)
        return;
    PeakHistory::Pool &pool = previous->second;
    const Duration lag = begin - *pool.begin;
    const bool isKnown = pool.next == name && lag < pool.lag + lead && pool.lag < lag + lead;
    if (isKnown)
        pool.isDoubted = false;
    pool.lag = isKnown ? (pool.lag + lag) / 2 : lag;
    pool.next = name;
    // Two pools in turn suggest that all have their turn.
    m_history.followed = m_history.followed || m_history.latest != name;
}

void PeakForecast::doubtOrder()
{
    PeakHistory::Pool &pool = m_history.pools.at(m_history.latest);
    if (pool.next.empty())
        m_history.guessFailed = true;
    else
        pool.isDoubted = true;
}

void PeakForecast::endPeak(TimePoint now, const std::string &name)
{
    PeakHistory::Pool &pool = m_history.pools.at(name);
    Load &state = m_loads.at(name);
    pool.inPeak = false;
    pool.height = state.height;
    state.belowSince.reset();
    state.endedAt = now;
    ++m_changes;
    m_observe("peak-ended", name + ": " + std::to_string(wholeHosts(pool.height)) + " hosts");
}

Duration PeakForecast::usualLag() const
{
    Duration sum{0};
    int count = 0;
    for (const auto &[name, pool] : m_history.pools) {
        if (pool.next.empty())
            continue;
        sum += pool.lag;
        ++count;
    }
    return count == 0 ? sum : sum / count;
}

std::map<std::string, unsigned> PeakForecast::guessedHosts(const std::string &latest) const
{
    std::map<std::string, unsigned> hosts;
    std::string oldest;
    double height = 0;
    unsigned withoutPeak = 0;
    for (const auto &[name, pool] : m_history.pools) {
        height = std::max(height, pool.height);
        withoutPeak += pool.begin ? 0 : 1;
        if (pool.begin && (oldest.empty() || pool.begin < m_history.pools.at(oldest).begin))
            oldest = name;
    }
    if (withoutPeak == 0) {
        if (oldest != latest)
            hosts[oldest] = wholeHosts(m_history.pools.at(oldest).height);
        return hosts;
    }
    for (const auto &[name, pool] : m_history.pools) {
        if (!pool.begin)
            hosts[name] = wholeHosts(height / withoutPeak);
    }
    return hosts;
}

std::optional<PeakForecast::Expectation> PeakForecast::nextPeak() const
{
    const auto latest = m_history.pools.find(m_history.latest);
    if (latest == m_history.pools.end())
        return std::nullopt;
    const PeakHistory::Pool &pool = latest->second;
    if (!pool.next.empty()) {
        const auto next = m_history.pools.find(pool.next);
        if (pool.isDoubted || next == m_history.pools.end())
            return std::nullopt;
        return Expectation{*pool.begin + pool.lag, {{pool.next, wholeHosts(next->second.height)}}};
    }
    if (!m_history.followed || m_history.guessFailed)
        return std::nullopt;
    return Expectation{*pool.begin + usualLag(), guessedHosts(m_history.latest)};
}

void PeakForecast::forgetMissedPeak(TimePoint now)
{
    const auto expected = nextPeak();
    if (!expected || now <= expected->begin + tolerance)
        return;
    for (const auto &[name, hosts] : expected->hosts)
        m_observe("peak-missed", name);
    doubtOrder();
    ++m_changes;
}

void PeakForecast::reportExpectation(TimePoint now)
{
    const auto expected = nextPeak();
    if (!expected || now < expected->begin - lead || m_reported == expected->begin)
        return;
    m_reported = expected->begin;
    for (const auto &[name, hosts] : expected->hosts)
        m_observe("peak-expected", name + ": " + std::to_string(hosts) + " hosts in "
                                       + std::to_string(toSeconds(expected->begin - now)) + " s");
}

std::optional<unsigned> PeakForecast::restingHosts(const std::string &name) const
{
    const auto pool = m_history.pools.find(name);
    if (pool == m_history.pools.end() || !pool->second.begin || pool->second.inPeak)
        return std::nullopt;
    const auto expected = nextPeak();
    if (!expected || expected->hosts.contains(name))
        return std::nullopt;
    return wholeHosts(pool->second.height * restingFraction);
}

std::map<std::string, unsigned> PeakForecast::expectedHosts(TimePoint now) const
{
    std::map<std::string, unsigned> result;
    if (const auto expected = nextPeak(); expected && now >= expected->begin - lead)
        result = expected->hosts;
    for (const auto &[name, pool] : m_history.pools) {
        if (pool.inPeak && now < *pool.begin + rampTime)
            result[name] = std::max(result[name], wholeHosts(pool.height));
    }
    return result;
}

} // namespace Peridot::Jobs
