#include <Kernel/Jobs/AdmissionControl.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// The rate of starts is measured over this time while tasks wait. A burst needs less than the
// shorter one to show; hosts that are moved to a pool need longer to arrive.
constexpr std::chrono::milliseconds shortestRateWindow{500};
constexpr std::chrono::milliseconds longestRateWindow{3000};
// A queue is limited when its jobs would wait for this part of what they can bear or longer. Room
// may still be moved to the pool. A scheduler that is behind needs some of its time for what waits.
constexpr double targetPart = 1;
constexpr double targetPartBehind = 0.5;
// Late jobs do not delay new ones, but have still to be done.
constexpr std::uint64_t overdueWeightDivisor = 2;
// Bounds of the change of a share at each update.
constexpr double largestDecrease = 0.1;
constexpr double largestIncrease = 1.1;
// The same when little waits any more: the load has ended, or the rate of starts has risen.
constexpr double recoveryIncrease = 2;
constexpr double recoveredPart = 0.1; ///< of the target
// A smaller share would not tell when the load has ended.
constexpr double smallestShare = 0.002;
constexpr std::chrono::seconds longestRetryAfter{30};

Duration targetOf(const SchedulerDemand &demand, const QueueBacklog &queue)
{
    const double part = demand.schedulerIsBehind ? targetPartBehind : targetPart;
    return std::chrono::duration_cast<Duration>(queue.tolerableWait * part);
}

} // namespace

const AdmissionLimits &AdmissionControl::update(TimePoint now, const SchedulerDemand &demand)
{
    if (demand.startsAreBlocked) {
        m_samples.clear();
        return m_limits;
    }
    for (const auto &[pool, started] : demand.startedTasks)
        addSample(now, demand, pool);
    m_limits.clear();
    for (const auto &[name, queue] : demand.queues) {
        limit(name, expectedWait(demand, queue), targetOf(demand, queue));
    }
    std::erase_if(m_shares,
                  [&](const auto &entry) { return !demand.queues.contains(entry.first); });
    return m_limits;
}

void AdmissionControl::addSample(TimePoint now, const SchedulerDemand &demand,
                                 const std::string &pool)
{
    auto &samples = m_samples[pool];
    const bool waits
        = std::any_of(demand.queues.begin(), demand.queues.end(), [&](const auto &entry) {
              return entry.second.pool == pool && entry.second.waitingTasks > 0;
          });
    if (!waits)
        return samples.clear();
    samples.push_back({now, demand.startedTasks.at(pool)});
    while (samples.size() > 2 && samples[1].time <= now - longestRateWindow)
        samples.pop_front();
}

std::optional<Duration> AdmissionControl::expectedWait(const SchedulerDemand &demand,
                                                       const QueueBacklog &queue) const
{
    const auto found = m_samples.find(queue.pool);
    if (found == m_samples.end() || found->second.empty())
        return Duration{0};
    const Sample &first = found->second.front();
    const Sample &last = found->second.back();
    if (last.time - first.time < shortestRateWindow)
        return std::nullopt;
    std::uint64_t before = 0;
    for (const auto &[name, other] : demand.queues) {
        if (other.pool == queue.pool && other.priority <= queue.priority)
            before += other.waitingTasks - other.overdueTasks / overdueWeightDivisor;
    }
    const Duration window = last.time - first.time;
    // While the store is away, nothing starts. That tells nothing about the rate afterwards.
    if (last.startedTasks == first.startedTasks)
        return std::nullopt;
    const double wait = toSeconds(window) * static_cast<double>(before)
                        / static_cast<double>(last.startedTasks - first.startedTasks);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

void AdmissionControl::limit(const std::string &queue, std::optional<Duration> wait,
                             Duration targetWait)
{
    double &share = m_shares.try_emplace(queue, 1).first->second;
    if (wait) {
        const double target = toSeconds(targetWait);
        const double seconds = toSeconds(*wait);
        const double factor = seconds <= recoveredPart * target
                                  ? recoveryIncrease
                                  : std::min(target / seconds, largestIncrease);
        share *= std::max(factor, largestDecrease);
        share = std::clamp(share, smallestShare, 1.0);
    }
    if (share == 1)
        return;
    AdmissionLimit limit;
    limit.acceptedPermille = static_cast<unsigned>(std::lround(share * 1000));
    limit.retryAfter
        = std::clamp(std::chrono::ceil<std::chrono::seconds>(wait.value_or(targetWait)),
                     std::chrono::seconds(1), longestRetryAfter);
    m_limits[queue] = limit;
}

} // namespace Peridot::Jobs
