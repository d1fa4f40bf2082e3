#include "RequestDispatcher.h"

#include <Kernel/Request/RequestIdentifier.h>
#include <algorithm>

namespace Peridot {

namespace {

/// The wait of the last request that left the queue is used as an estimate for this long.
constexpr Duration waitValidity = std::chrono::seconds(1);
constexpr Duration shortestRetryAfter = std::chrono::seconds(1);
constexpr Duration longestRetryAfter = std::chrono::seconds(30);
/// A lookup of the claim row that takes longer than this counts as failed.
constexpr Duration storeCallLimit = std::chrono::seconds(1);

/// Whether every entry process refuses all copies of the request for this reason, so that none can
/// have run. This does not hold for an unknown service or an id from the future, because the
/// routing table or the clock of another entry process may differ.
bool appliesToEveryCopy(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MissingRequestId:
        return true;
    default:
        return false;
    }
}

} // namespace

void RequestDispatcher::requestArrived(TimePoint now, const RequestDescription &request)
{
    advance(now);
    ServiceIndex service = 0;
    if (const auto reason = checkArrival(now, request, service)) {
        const auto found = m_serviceIndex.find(request.service);
        refuseArrival(now, request,
                      found == m_serviceIndex.end() ? std::nullopt : std::optional(found->second),
                      *reason);
        finishEvent(now);
        return;
    }
    ++m_services[service].counters.arrived;
    m_services[service].budget.requestArrived(now);
    if (!request.idempotent) {
        const auto repeat = m_claims.findOpenClaim(claimKey(request.service, request.requestId),
                                                   request.fingerprint);
        if (repeat) {
            RequestState &state = m_requests[request.token];
            state.token = request.token;
            state.service = service;
            state.callerAttempt = request.callerAttempt;
            claimRepeated(now, request.token, *repeat);
            finishEvent(now);
            return;
        }
    }
    const auto unclaimable = request.idempotent ? std::nullopt : checkClaimable(now);
    if (unclaimable) {
        refuseArrival(now, request, service, *unclaimable);
    } else if (const auto reason = checkQueue(now, request, service)) {
        if (request.callerAttempt > 1 && !request.idempotent)
            refuse(now, addRequest(request, service), *reason);
        else
            refuseArrival(now, request, service, *reason);
    } else {
        admit(now, addRequest(request, service));
    }
    finishEvent(now);
}

std::optional<RefusalReason> RequestDispatcher::checkArrival(TimePoint now,
                                                             const RequestDescription &request,
                                                             ServiceIndex &service) const
{
    if (!m_table || !m_isMember)
        return RefusalReason::NotReady;
    if (m_stopping)
        return RefusalReason::Stopping;
    const auto found = m_serviceIndex.find(request.service);
    if (found == m_serviceIndex.end() || !m_services[found->second].inRoutingTable)
        return RefusalReason::UnknownService;
    service = found->second;
    if (request.idempotent)
        return std::nullopt;
    if (request.requestId.empty())
        return RefusalReason::MissingRequestId;
    const auto created = requestIdTime(request.requestId);
    if (!created || *created > now + ClaimLedger::futureLimit)
        return RefusalReason::InvalidRequestId;
    if (*created < now - ClaimLedger::retention)
        return RefusalReason::RecordExpired;
    return std::nullopt;
}

std::optional<RefusalReason> RequestDispatcher::checkClaimable(TimePoint now)
{
    // The lease of a running process expires only if the store could not be reached in time to
    // renew it.
    if (!leaseIsLive(now) || !m_claims.breaker().wouldPass(now))
        return RefusalReason::StoreUnavailable;
    if (!m_claims.hasCapacity(now))
        return RefusalReason::RecordLimit;
    return std::nullopt;
}

RefusalReason RequestDispatcher::overloadReason(ServiceIndex service, RefusalReason otherwise) const
{
    const bool overShare
        = static_cast<double>(m_admission->slotsInUse(service)) >= m_admission->shareOf(service);
    return overShare ? RefusalReason::OverShare : otherwise;
}

Duration RequestDispatcher::expectedWait(TimePoint now, ServiceIndex service, Urgency urgency) const
{
    // Longest time that a request at the head of a list of this or a higher urgency has waited.
    Duration wait{0};
    for (std::size_t level = 0; level <= static_cast<std::size_t>(urgency); ++level) {
        const auto *head = m_admission->queue(service).head(static_cast<Urgency>(level));
        if (head)
            wait = std::max(wait, now - head->queuedAt);
    }
    if (wait > Duration::zero() && now - m_services[service].lastWaitAt < waitValidity)
        wait = std::max(wait, m_services[service].lastWait);
    return wait;
}

bool RequestDispatcher::evictLessUrgent(TimePoint now, ServiceIndex service, Urgency urgency)
{
    QueuedRequest *tail = m_admission->queue(service).leastUrgentTail();
    if (!tail || tail->urgency <= urgency)
        return false;
    RequestState &request = *find(tail->token);
    if (request.claimed)
        return false;
    m_admission->remove(*tail);
    refuse(now, request, overloadReason(service, RefusalReason::QueueFull));
    return true;
}

std::optional<RefusalReason> RequestDispatcher::checkQueue(TimePoint now,
                                                           const RequestDescription &request,
                                                           ServiceIndex service)
{
    if (!m_pool.hasServer(service))
        return RefusalReason::NoBackendServer;
    if (request.deadline <= now)
        return RefusalReason::DeadlineExceeded;
    const Duration needed
        = expectedWait(now, service, request.urgency) + m_pool.latency(service) / 2;
    if (now + needed > request.deadline)
        return overloadReason(service, RefusalReason::DeadlineExceeded);
    if (m_admission->waiting(service) >= m_settings.queueLimit
        && !evictLessUrgent(now, service, request.urgency))
        return overloadReason(service, RefusalReason::QueueFull);
    return std::nullopt;
}

RequestState &RequestDispatcher::addRequest(const RequestDescription &description,
                                            ServiceIndex service)
{
    RequestState &request = m_requests[description.token];
    request.token = description.token;
    request.idempotent = description.idempotent;
    request.callerAttempt = description.callerAttempt;
    request.service = service;
    request.deadline = description.deadline;
    request.node.token = description.token;
    request.node.service = service;
    request.node.urgency = description.urgency;
    request.node.sequence = ++m_lastSequence;
    if (request.idempotent)
        return request;
    request.created = *requestIdTime(description.requestId);
    m_claims.open(request.token, claimKey(description.service, description.requestId),
                  description.fingerprint, description.callerAttempt);
    return request;
}

void RequestDispatcher::admit(TimePoint now, RequestState &request)
{
    if (request.idempotent || request.callerAttempt == 1) {
        enqueue(now, request, false);
        return;
    }
    request.phase = Phase::LookingUp;
    setTimer(request, std::min(request.deadline, now + storeCallLimit));
    m_claims.breaker().mayCall(now);
    m_claims.lookUp(request.token);
}

void RequestDispatcher::refuseArrival(TimePoint now, const RequestDescription &description,
                                      std::optional<ServiceIndex> service, RefusalReason reason)
{
    // Unless the caller declares this as the first copy (attempt number 1), an earlier copy may
    // have run through another entry process.
    const bool certainlyNotRun
        = description.idempotent || appliesToEveryCopy(reason)
          || (description.callerAttempt == 1 && reason != RefusalReason::RecordExpired);
    AnswerRequest action;
    action.token = description.token;
    action.outcome = certainlyNotRun ? Outcome::NotRun : Outcome::Unknown;
    action.reason = reason;
    action.retryAfter = retryAfter(now, service, reason);
    if (service) {
        auto &counters = m_services[*service].counters;
        ++counters.refused[static_cast<std::size_t>(reason)];
        ++counters.outcomes[static_cast<std::size_t>(action.outcome)];
    }
    m_actions.emplace_back(std::move(action));
}

Duration RequestDispatcher::retryAfter(TimePoint now, std::optional<ServiceIndex> service,
                                       RefusalReason reason) const
{
    Duration wait = shortestRetryAfter;
    if (reason == RefusalReason::StoreUnavailable)
        wait = m_claims.breaker().retryAfter(now);
    else if (service)
        wait = expectedWait(now, *service, Urgency::Deferrable);
    return std::clamp(wait, shortestRetryAfter, longestRetryAfter);
}

} // namespace Peridot
