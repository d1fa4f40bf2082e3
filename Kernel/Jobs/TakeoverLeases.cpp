#include <Kernel/Jobs/TakeoverLeases.h>

#include "SchedulerLimits.h"
#include <algorithm>
#include <set>
#include <utility>

namespace Peridot::Jobs {

namespace {

// A poll takes a few milliseconds, so that all workers of a fleet are reached within a second.
constexpr std::size_t maximumPollsInFlight = 48;
constexpr std::chrono::milliseconds failedPollDelay{300};

} // namespace

TakeoverLeases::TakeoverLeases(std::uint64_t epoch, Duration lease, Duration maximumLease,
                               Hooks hooks)
    : m_epoch(epoch), m_lease(lease), m_maximumLease(maximumLease), m_hooks(std::move(hooks))
{
}

void TakeoverLeases::setWorkers(const std::vector<WorkerDescription> &workers)
{
    std::set<std::string> listed;
    for (const WorkerDescription &worker : workers) {
        listed.insert(worker.id);
        m_workers.try_emplace(worker.id, worker);
    }
    std::erase_if(m_workers, [&](const auto &entry) {
        const PolledWorker &polled = entry.second;
        return !listed.contains(entry.first) && !polled.hasRuns && !polled.pollInFlight;
    });
}

void TakeoverLeases::sendDuePolls(TimePoint now)
{
    std::vector<PolledWorker *> due;
    for (auto &[id, polled] : m_workers) {
        // An idle worker stays idle: it refuses orders of earlier schedulers once it has answered.
        const bool isDone = polled.answered && !polled.hasRuns;
        if (!isDone && !polled.pollInFlight && now >= polled.nextPoll)
            due.push_back(&polled);
    }
    // Those that have waited the longest come first, so that none is left out.
    std::stable_sort(due.begin(), due.end(), [](const auto *left, const auto *right) {
        return left->nextPoll < right->nextPoll;
    });
    for (PolledWorker *polled : due) {
        if (m_inFlight >= maximumPollsInFlight)
            return;
        sendPoll(now, *polled);
    }
}

TimePoint TakeoverLeases::leasesEnd() const
{
    TimePoint end;
    for (const auto &[id, polled] : m_workers)
        end = std::max(end, polled.worker.leasesEnd());
    return end;
}

void TakeoverLeases::forEachWorker(const std::function<void(const Worker &)> &visit) const
{
    for (const auto &[id, polled] : m_workers)
        visit(polled.worker);
}

void TakeoverLeases::sendPoll(TimePoint now, PolledWorker &polled)
{
    PollOrder order;
    order.worker = polled.worker.description.id;
    order.incarnation = polled.worker.description.startedAt;
    order.fencingEpoch = m_epoch;
    order.sentAt = now;
    order.urgent = true;
    if (polled.worker.clockKnown())
        order.leaseEnd = polled.worker.extendLease(now, m_lease);
    polled.pollInFlight = true;
    ++m_inFlight;
    m_hooks.poll(order);
}

void TakeoverLeases::pollFinished(TimePoint now, const PollOrder &order, const PollReply &reply)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    PolledWorker &polled = found->second;
    polled.pollInFlight = false;
    --m_inFlight;
    if (reply.outcome == OrderOutcome::Fenced)
        return m_hooks.fenced();
    polled.nextPoll = now + failedPollDelay;
    if (order.leaseEnd)
        polled.worker.extensionEnded(
            now, {order.incarnation, *order.leaseEnd},
            {reply.outcome, reply.clock, reply.waited, reply.connectionAge}, m_maximumLease);
    if (reply.outcome != OrderOutcome::Accepted)
        return;
    if (reply.startedAt < polled.worker.description.startedAt)
        return; // an earlier incarnation
    if (reply.startedAt > polled.worker.description.startedAt)
        polled.worker.beginIncarnation(reply.startedAt,
                                       now + m_maximumLease * maximumLeasePercent / 100);
    polled.worker.confirmIncarnation(order.sentAt);
    if (reply.clock)
        polled.worker.updateClock(*reply.clock, now - reply.waited);
    m_answered += polled.answered ? 0 : 1;
    polled.answered = true;
    polled.hasRuns = !reply.active.empty();
    // The first answer tells the clock of the worker, so that the next poll can extend the lease.
    polled.nextPoll = order.leaseEnd ? now + pollWait : now;
    sendDuePolls(now);
}

} // namespace Peridot::Jobs
