#include <Kernel/Jobs/Worker.h>

#include "SchedulerLimits.h"
#include <algorithm>

namespace Peridot::Jobs {

namespace {

// The clock of a worker may be up to 2% slow.
constexpr double minimumClockRate = 0.98;
// Allows for the delay with which this process reads its own clock.
constexpr std::chrono::milliseconds leaseEndMargin{100};
// Orders that are not answered may be carried out up to 12 seconds later.
constexpr std::chrono::seconds longestOrderDelay{12};
constexpr unsigned unansweredOrdersLimit = 10;

} // namespace

void Worker::beginIncarnation(std::int64_t startedAt, TimePoint leasesEnd)
{
    description.startedAt = startedAt;
    orphanedRuns.clear();
    unstoredEnds.clear();
    processedEnds = 0;
    durableEnds = 0;
    acknowledgedEnds = 0;
    failures.clear();
    m_unansweredOrders = 0;
    m_clockKnown = false;
    m_leasesEnd = leasesEnd;
    m_confirmedAt.reset();
    contacted = false;
    incarnationReported = false;
    announcedIncarnation = 0;
    refutedIncarnation = 0;
}

void Worker::announceIncarnation(TimePoint now, std::int64_t startedAt)
{
    if (startedAt == announcedIncarnation)
        return;
    announcedIncarnation = startedAt;
    announcedAt = now;
    contacted = false;
    pollAgain(now); // the poll in flight may wait for an answer of the earlier incarnation
}

void Worker::pollAgain(TimePoint now)
{
    pollInFlight = false;
    nextPoll = now;
}

void Worker::updateClock(WorkerClock clock, TimePoint receivedAt)
{
    // Replies on different connections may arrive out of order.
    if (m_clockKnown && clock < m_clock)
        return;
    m_clockKnown = true;
    m_clock = clock;
    m_clockReceivedAt = receivedAt;
}

void Worker::takeClock(const Worker &other)
{
    if (other.m_clockKnown && other.description.startedAt == description.startedAt)
        updateClock(other.m_clock, other.m_clockReceivedAt);
}

WorkerClock Worker::extendLease(TimePoint now, Duration length)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto elapsed = duration_cast<milliseconds>(now - m_clockReceivedAt).count();
    const auto lengthMilliseconds = duration_cast<milliseconds>(length).count();
    const WorkerClock end = m_clock + elapsed + lengthMilliseconds;
    const auto longest = static_cast<std::int64_t>(static_cast<double>(elapsed + lengthMilliseconds)
                                                   / minimumClockRate);
    assumeLeasesUntil(m_clockReceivedAt + milliseconds(longest) + leaseEndMargin);
    return end;
}

void Worker::assumeLeasesUntil(TimePoint end)
{
    m_leasesEnd = std::max(m_leasesEnd, end);
}

void Worker::extensionEnded(TimePoint now, const LeaseExtension &extension, const OrderReply &reply,
                            Duration maximumLease)
{
    if (reply.outcome == OrderOutcome::NotSent)
        return;
    // A connection ends with the incarnation that accepted it.
    const TimePoint connectedAt = now - reply.waited - reply.connectionAge;
    const bool reachedSameIncarnation = extension.incarnation == description.startedAt
                                        && m_confirmedAt && connectedAt <= *m_confirmedAt;
    if (reachedSameIncarnation)
        return;
    if (!reply.clock)
        return assumeLeasesUntil(now + longestOrderDelay
                                 + maximumLease * maximumLeasePercent / 100);
    const std::chrono::milliseconds asked{extension.end - *reply.clock};
    const Duration granted = std::clamp<Duration>(asked, Duration{0}, maximumLease);
    assumeLeasesUntil(now + granted * maximumLeasePercent / 100 + leaseEndMargin);
}

void Worker::confirmIncarnation(TimePoint sentAt)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(sentAt), sentAt);
}

std::uint64_t
Worker::endsStoredUpTo(const std::function<bool(const UnstoredEnd &end)> &isUnstored) const
{
    const auto first = std::find_if(unstoredEnds.begin(), unstoredEnds.end(),
                                    [&](const auto &entry) { return isUnstored(entry.second); });
    return first == unstoredEnds.end() ? processedEnds : first->first - 1;
}

void Worker::markEndsStored(std::uint64_t number)
{
    durableEnds = std::max(durableEnds, number);
    unstoredEnds.erase(unstoredEnds.begin(), unstoredEnds.upper_bound(durableEnds));
}

void Worker::orderUnanswered(TimePoint now)
{
    if (m_unansweredOrders == 0)
        m_unansweredSince = now;
    ++m_unansweredOrders;
}

bool Worker::leavesOrdersUnanswered() const
{
    return m_unansweredOrders >= unansweredOrdersLimit;
}

bool Worker::receivesNoOrders(TimePoint now) const
{
    return leavesOrdersUnanswered() && now >= m_unansweredSince + longestOrderDelay;
}

bool Worker::hasLabel(const std::string &label) const
{
    const auto &labels = description.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool Worker::nextPollDecidesRuns() const
{
    return std::any_of(runs.begin(), runs.end(),
                       [](const auto &entry) { return entry.second.isDecidedByNextPoll(); });
}

bool Worker::hasBestEffortBesideServing() const
{
    const auto has = [&](auto &&predicate) {
        return std::any_of(runs.begin(), runs.end(),
                           [&](const auto &entry) { return predicate(entry.second); });
    };
    return has([](const WorkerRun &run) { return run.bestEffort; })
           && has([](const WorkerRun &run) { return run.latencyTarget.count() > 0; });
}

} // namespace Peridot::Jobs
