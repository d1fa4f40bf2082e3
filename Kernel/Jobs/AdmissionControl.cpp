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
// No limit is set before the expected wait reaches this part of its target: a burst may end.
constexpr double firstLimitPart = 0.5;
// Time within which the expected wait is brought back to its target.
constexpr std::chrono::milliseconds correctionTime{2000};
// Part of the rate of starts that is accepted however long the wait is. The rate of what is handed
// in could not be estimated without.
constexpr double smallestCorrection = 0.1;
// Processes that accept jobs follow a limit after this number of updates.
constexpr std::size_t updatesUntilInForce = 2;
// Weight of the latest update in the estimate of what is handed in.
constexpr double arrivalWeight = 0.3;
// A share rises by this factor at most in an update.
constexpr double largestIncrease = 1.5;
constexpr double smallestShare = 0.002;
constexpr double smallestOfferedRate = 1; ///< tasks per second
constexpr std::chrono::seconds longestRetryAfter{30};
constexpr double wholePermille = 1000;

Duration targetOf(const SchedulerDemand &demand, const QueueBacklog &queue)
{
    const double part = demand.schedulerIsBehind ? targetPartBehind : targetPart;
    return std::chrono::duration_cast<Duration>(queue.tolerableWait * part);
}

/// Number of tasks that are started before a new one of \a queue.
std::uint64_t tasksBefore(const SchedulerDemand &demand, const QueueBacklog &queue)
{
    std::uint64_t tasks = 0;
    for (const auto &[name, other] : demand.queues) {
        if (other.pool == queue.pool && other.priority <= queue.priority)
            tasks += other.waitingTasks - other.overdueTasks / overdueWeightDivisor;
    }
    return tasks;
}

unsigned permilleOf(double share)
{
    return std::max(1U, static_cast<unsigned>(std::lround(share * wholePermille)));
}

std::chrono::seconds retryAfterOf(double wait)
{
    const double longest = toSeconds(longestRetryAfter);
    const std::chrono::seconds whole{static_cast<std::int64_t>(std::ceil(std::min(wait, longest)))};
    return std::max(whole, std::chrono::seconds(1));
}

/// The same for a task of a job that is within the rate of its organisation.
std::uint64_t tasksBeforeWithinRates(const SchedulerDemand &demand, const QueueBacklog &queue)
{
    std::uint64_t outOfProfile = 0;
    for (const auto &[name, other] : demand.queues) {
        if (other.pool == queue.pool && other.priority == queue.priority)
            outOfProfile += other.outOfProfileTasks;
    }
    const std::uint64_t tasks = tasksBefore(demand, queue);
    return tasks - std::min(tasks, outOfProfile);
}

/// \a wait is the expected time in the queue in seconds, \a waitWithinRates that of jobs within the
/// rates.
AdmissionLimit limitOf(const QueueShares &shares, double wait, double waitWithinRates,
                       const OrganisationArrivals &arrivals)
{
    AdmissionLimit limit{permilleOf(shares.all), retryAfterOf(wait)};
    if (shares.organisations.empty())
        return limit;
    limit.othersPermille = permilleOf(shares.others);
    limit.retryAfter = retryAfterOf(waitWithinRates);
    // A submission beyond the rate of its organisation comes after those that were refused before.
    // When only submissions within the rates are accepted, no job beyond them delays it.
    const double leastWait = shares.others < 1 ? waitWithinRates : wait;
    for (const auto &[name, share] : shares.organisations)
        limit.organisations[name]
            = {permilleOf(share), retryAfterOf(std::max(leastWait, arrivals.retryAfter(name)))};
    return limit;
}

QueueShares sharesOf(const AdmissionLimit &limit)
{
    const double all = limit.acceptedPermille / wholePermille;
    QueueShares shares{all, limit.othersPermille.value_or(limit.acceptedPermille) / wholePermille};
    for (const auto &[name, organisation] : limit.organisations)
        shares.organisations[name] = organisation.acceptedPermille / wholePermille;
    return shares;
}

} // namespace

AdmissionControl::AdmissionControl(const AdmissionLimits &limits)
{
    for (const auto &[name, limit] : limits) {
        m_arrivals[name].shares.assign(updatesUntilInForce, sharesOf(limit));
        for (const auto &[organisation, share] : limit.organisations)
            m_rates.exhaust(organisation);
    }
}

const AdmissionLimits &AdmissionControl::update(TimePoint now, const SchedulerDemand &demand)
{
    const Duration elapsed = m_updatedAt ? now - *m_updatedAt : Duration{0};
    m_updatedAt = now;
    // The limit of a queue that has no job any more is lifted like that of one without a backlog.
    std::map<std::string, QueueBacklog> queues = demand.queues;
    for (const auto &[name, arrivals] : m_arrivals) {
        if (!queues.contains(name))
            queues[name].acceptedTasks = arrivals.acceptedTasks.value_or(0);
    }
    for (const auto &[name, queue] : queues)
        addArrivals(elapsed, demand, queue, m_arrivals[name]);
    updateRates(elapsed, demand);
    if (demand.startsAreBlocked) {
        m_samples.clear();
        return m_limits;
    }
    for (const auto &[pool, started] : demand.startedTasks)
        addSample(now, demand, pool);
    m_limits.clear();
    for (const auto &[name, queue] : queues)
        limit(elapsed, demand, name, queue);
    std::erase_if(m_arrivals, [&](const auto &entry) {
        return !demand.queues.contains(entry.first) && !m_limits.contains(entry.first);
    });
    return m_limits;
}

void AdmissionControl::addArrivals(Duration elapsed, const SchedulerDemand &demand,
                                   const QueueBacklog &backlog, Arrivals &arrivals)
{
    arrivals.shares.resize(std::max(arrivals.shares.size(), updatesUntilInForce));
    arrivals.organisations.add(elapsed, backlog.organisations, arrivals.shares.front());
    const std::uint64_t before = arrivals.acceptedTasks.value_or(backlog.acceptedTasks);
    arrivals.acceptedTasks = backlog.acceptedTasks;
    if (elapsed <= Duration{0})
        return;
    const double accepted = static_cast<double>(backlog.acceptedTasks - before);
    const double offered = accepted / toSeconds(elapsed) / arrivals.shares.front().all;
    arrivals.offeredRate += arrivalWeight * (offered - arrivals.offeredRate);
    std::uint64_t acceptedJobs = 0;
    for (const auto &[name, organisation] : backlog.organisations)
        acceptedJobs += organisation.acceptedJobs;
    if (demand.weights.empty() || acceptedJobs == 0)
        return;
    // Organisations with different shares: the share of the queue tells less than their parts.
    const double tasksPerJob
        = static_cast<double>(backlog.acceptedTasks) / static_cast<double>(acceptedJobs);
    arrivals.offeredRate = arrivals.organisations.totalOffered() * tasksPerJob;
}

void AdmissionControl::updateRates(Duration elapsed, const SchedulerDemand &demand)
{
    std::map<std::string, double> offered;
    for (const auto &[queue, arrivals] : m_arrivals) {
        for (const auto &[name, rate] : arrivals.organisations.offered())
            offered[name] += rate;
    }
    m_rates.update(elapsed, offered, demand.weights);
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

std::optional<double> AdmissionControl::startRate(const std::string &pool) const
{
    const auto found = m_samples.find(pool);
    if (found == m_samples.end() || found->second.empty())
        return std::nullopt;
    const Sample &first = found->second.front();
    const Sample &last = found->second.back();
    const Duration window = last.time - first.time;
    // While the store is away, nothing starts. That tells nothing about the rate afterwards.
    if (window < shortestRateWindow || last.startedTasks == first.startedTasks)
        return std::nullopt;
    return static_cast<double>(last.startedTasks - first.startedTasks) / toSeconds(window);
}

double AdmissionControl::nextShare(const Arrivals &arrivals, double starts, double wait,
                                   double target)
{
    const double correction
        = std::max(smallestCorrection, 1 + (target - wait) / toSeconds(correctionTime));
    return starts * correction / std::max(arrivals.offeredRate, smallestOfferedRate);
}

QueueShares AdmissionControl::divide(const SchedulerDemand &demand, const Arrivals &arrivals,
                                     double share, double shareWithinRates) const
{
    if (demand.weights.empty())
        return {share, share};
    std::map<std::string, OrganisationOffer> offers;
    for (const auto &[name, rate] : arrivals.organisations.offered())
        offers[name] = {rate, rate * m_rates.partWithinRate(name)};
    return divideShare(share, shareWithinRates, offers);
}

void AdmissionControl::limit(Duration elapsed, const SchedulerDemand &demand,
                             const std::string &name, const QueueBacklog &queue)
{
    Arrivals &arrivals = m_arrivals[name];
    const QueueShares previous = arrivals.shares.back();
    const double latest = previous.all;
    const double target = toSeconds(targetOf(demand, queue));
    const auto before = static_cast<double>(tasksBefore(demand, queue));
    const std::optional<double> starts = startRate(queue.pool);
    double wait = before == 0 ? 0 : target;
    double waitWithinRates = wait;
    double share = before == 0 ? 1 : latest;
    double shareWithinRates = 0;
    if (before > 0 && starts) {
        const auto within = static_cast<double>(tasksBeforeWithinRates(demand, queue));
        wait = before / *starts;
        waitWithinRates = within / *starts;
        share = nextShare(arrivals, *starts, wait, target);
        shareWithinRates = nextShare(arrivals, *starts, waitWithinRates, target);
    }
    const bool mayBegin = latest < 1 || wait >= firstLimitPart * target;
    const double largest = std::min(1.0, latest * largestIncrease);
    share = mayBegin ? std::clamp(share, smallestShare, largest) : 1;
    // Without a rate of starts, nothing tells that the shares in force are wrong.
    const bool isKnown = before == 0 || starts;
    QueueShares shares = isKnown ? divide(demand, arrivals, share, shareWithinRates) : previous;
    arrivals.organisations.countRefusals(elapsed, shares);
    if (shares.all < 1)
        m_limits[name] = limitOf(shares, wait, waitWithinRates, arrivals.organisations);
    arrivals.shares.pop_front();
    arrivals.shares.push_back(std::move(shares));
}

} // namespace Peridot::Jobs
