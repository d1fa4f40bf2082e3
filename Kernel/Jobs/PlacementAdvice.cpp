#include <Kernel/Jobs/PlacementAdvice.h>

#include "SchedulerLimits.h"
#include <algorithm>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace Peridot::Jobs {

namespace {

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

bool hasLabel(const Worker &worker, const StepSpecification &step)
{
    return step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel);
}

bool hasRoom(const Worker &worker, const StepSpecification &step)
{
    return hasLabel(worker, step) && fitsInto(reservedSize(step), worker.freeCapacity());
}

TaskName firstTask(const TaskName &task)
{
    return {task.job, task.occurrence, task.step, 0};
}

} // namespace

PlacementAdvice::PlacementAdvice(Hooks hooks) : m_hooks(std::move(hooks)) { }

bool PlacementAdvice::isNeededFor(const QueueSettings &queue) const
{
    return queue.adviceValidity.count() > 0 && m_hooks.send;
}

std::optional<std::string> PlacementAdvice::ticket(const TaskName &step, const std::string &worker,
                                                   TimePoint now) const
{
    const auto found = m_steps.find(firstTask(step));
    return found == m_steps.end() ? std::nullopt : found->second.ticket(worker, now);
}

std::vector<Worker *> PlacementAdvice::allowedWorkers(TimePoint now, const TaskName &step,
                                                      const std::vector<Worker *> &usable) const
{
    std::vector<Worker *> allowed;
    const auto found = m_steps.find(step);
    if (found == m_steps.end() || found->second.isUnknown())
        return allowed;
    for (Worker *worker : usable) {
        if (found->second.ticket(worker->description.id, now))
            allowed.push_back(worker);
    }
    return allowed;
}

void PlacementAdvice::add(TimePoint now, const AdviceNeed &need)
{
    StepAdvice &advice = m_steps[need.step];
    if (!advice.mayRequest(now))
        return;
    const auto mayBeAllowed = [&](const Worker *worker) {
        return advice.isUnknown() || advice.mustQuery(worker->description.id, now);
    };
    const auto &workers = *need.workers;
    const bool canHelp = std::any_of(workers.begin(), workers.end(), [&](const Worker *worker) {
        return hasLabel(*worker, *need.specification) && mayBeAllowed(worker);
    });
    if (!canHelp)
        return;
    Candidate &candidate = m_candidates.emplace_back();
    candidate.need = need;
    candidate.advice = &advice;
    candidate.rank = m_nextRank++;
    candidate.since = advice.needRequest(now);
    candidate.hasRoom = std::any_of(workers.begin(), workers.end(), [&](const Worker *worker) {
        return hasRoom(*worker, *need.specification) && mayBeAllowed(worker);
    });
}

void PlacementAdvice::sendRequests(TimePoint now)
{
    while (!m_candidates.empty() && m_calls.mayCall(now)) {
        const auto next = nextCandidate();
        send(now, *next);
        m_candidates.erase(next);
    }
    m_waitingSteps = m_candidates.size();
    m_candidates.clear();
}

std::vector<PlacementAdvice::Candidate>::iterator PlacementAdvice::nextCandidate()
{
    const bool oldestFirst = std::exchange(m_oldestIsNext, !m_oldestIsNext);
    return std::min_element(m_candidates.begin(), m_candidates.end(),
                            [&](const Candidate &left, const Candidate &right) {
                                if (left.hasRoom != right.hasRoom)
                                    return left.hasRoom;
                                if (oldestFirst)
                                    return left.since < right.since;
                                return std::tie(left.rank, left.need.queue->priority)
                                       < std::tie(right.rank, right.need.queue->priority);
                            });
}

std::vector<std::string> PlacementAdvice::usableWorkers(const AdviceNeed &need,
                                                        const StepAdvice &advice, TimePoint now)
{
    std::vector<const Worker *> workers;
    for (const Worker *worker : *need.workers) {
        if (hasLabel(*worker, *need.specification))
            workers.push_back(worker);
    }
    // A request names a limited number of workers, so that those with room come first.
    std::stable_partition(workers.begin(), workers.end(), [&](const Worker *worker) {
        return hasRoom(*worker, *need.specification);
    });
    std::vector<std::string> ids;
    ids.reserve(workers.size());
    for (const Worker *worker : workers)
        ids.push_back(worker->description.id);
    return advice.workersToQuery(ids, now);
}

void PlacementAdvice::send(TimePoint now, const Candidate &candidate)
{
    AdviceRequest request;
    request.step = candidate.need.step;
    request.workers = usableWorkers(candidate.need, *candidate.advice, now);
    const QueueSettings &queue = *candidate.need.queue;
    const auto named = static_cast<Duration::rep>(request.workers.size());
    request.call = m_calls.begin(now, queue.adviceDelay + queue.adviceDelayPerWorker * named);
    candidate.advice->requestSent();
    m_hooks.send(request);
}

void PlacementAdvice::requestFinished(TimePoint now, const AdviceRequest &request,
                                      const AdviceReply &reply, Duration validity)
{
    const bool wasFailing = m_calls.isFailing();
    m_calls.end(now - reply.waited, request.call.number, reply.end);
    if (m_calls.isFailing() && !wasFailing)
        m_failingSince = now;
    observeEnd(now, request, reply, wasFailing);
    const auto advice = m_steps.find(request.step);
    if (advice != m_steps.end())
        advice->second.requestFinished(now, request, reply, validity);
}

void PlacementAdvice::observeEnd(TimePoint now, const AdviceRequest &request,
                                 const AdviceReply &reply, bool wasFailing)
{
    if (!m_hooks.observe)
        return;
    const auto state = fmt::format("named={} timeout_ms={} in_flight={} limit={} waiting_steps={}",
                                   request.workers.size(), milliseconds(request.call.timeout),
                                   m_calls.inFlight(), m_calls.limit(), m_waitingSteps);
    const std::string end(callEndNames.nameOf(reply.end));
    if (reply.end == CallEnd::Answered)
        m_hooks.observe("advice-answered", request.step,
                        fmt::format("granted={} unreadable={} {}", reply.tickets.size(),
                                    reply.unreadableEntries, state));
    else
        m_hooks.observe("advice-failed", request.step, end + ' ' + state);
    if (m_calls.isFailing() && !wasFailing)
        m_hooks.observe("advice-lost", request.step, end);
    if (wasFailing && !m_calls.isFailing())
        m_hooks.observe("advice-regained", request.step,
                        fmt::format("after_ms={}", milliseconds(now - m_failingSince)));
}

void PlacementAdvice::ticketRejected(const TaskName &step, const std::string &worker)
{
    const auto found = m_steps.find(firstTask(step));
    if (found != m_steps.end())
        found->second.ticketRejected(worker);
}

bool PlacementAdvice::isAwaitedBy(const std::string &job) const
{
    const auto isOfJob = [&](const auto &entry) {
        return entry->first.job == job;
    };
    for (auto entry = m_steps.lower_bound({job, 0, 0, 0}); entry != m_steps.end() && isOfJob(entry);
         ++entry) {
        if (entry->second.isWaiting())
            return true;
    }
    return false;
}

void PlacementAdvice::removeJob(const std::string &job)
{
    auto entry = m_steps.lower_bound({job, 0, 0, 0});
    while (entry != m_steps.end() && entry->first.job == job)
        entry = m_steps.erase(entry);
}

} // namespace Peridot::Jobs
