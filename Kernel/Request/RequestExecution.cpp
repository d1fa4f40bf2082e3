#include "RequestDispatcher.h"

#include <algorithm>

namespace Peridot {

namespace {

/// Limit on the number of attempts of one request.
constexpr unsigned attemptCountLimit = 4;
/// A claim that has not been written after this time counts as failed.
constexpr Duration claimTimeLimit = std::chrono::seconds(1);
/// A request whose refusal has not been recorded after this time is answered with outcome unknown.
constexpr Duration refusalTimeLimit = std::chrono::milliseconds(250);
constexpr int firstServerError = 500;
/// A time-out counts as a failure of the backend server if the attempt ran for this many times the
/// typical latency, or for slowAttemptTime if that is shorter.
constexpr int slowAttemptFactor = 4;
constexpr Duration slowAttemptTime = std::chrono::seconds(1);

RefusalReason reasonOf(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Refused:
        return RefusalReason::BackendRefused;
    case AttemptStatus::NotSent:
        return RefusalReason::BackendConnectionFailed;
    case AttemptStatus::ConnectionLost:
        return RefusalReason::BackendConnectionLost;
    case AttemptStatus::Truncated:
        return RefusalReason::TruncatedAnswer;
    case AttemptStatus::TimedOut:
        return RefusalReason::BackendTimeout;
    case AttemptStatus::Answered:
        break;
    }
    return RefusalReason::None;
}

} // namespace

void RequestDispatcher::enqueue(TimePoint now, RequestState &request, bool front)
{
    request.phase = Phase::Queued;
    request.node.queuedAt = now;
    setTimer(request, request.deadline);
    if (front)
        m_admission->pushFront(request.node);
    else
        m_admission->push(request.node);
}

void RequestDispatcher::dispatchWaiting(TimePoint now)
{
    if (m_suspendedUntil)
        return;
    requeuePostponedClaims();
    m_servicesWithoutSlot.clear();
    while (m_admission->waiting() > 0 && m_pool.hasFreeServer()) {
        if (!startNext(now))
            return;
    }
}

bool RequestDispatcher::startNext(TimePoint now)
{
    QueuedRequest *node = m_admission->take(now, [this](ServiceIndex service) {
        return m_pool.hasFreeServer(service)
               && std::find(m_servicesWithoutSlot.begin(), m_servicesWithoutSlot.end(), service)
                      == m_servicesWithoutSlot.end();
    });
    if (!node)
        return false;
    RequestState &request = *find(node->token);
    Service &service = m_services[request.service];
    service.lastWait = now - node->queuedAt;
    service.lastWaitAt = now;
    if (now + m_pool.latency(request.service) / 2 > request.deadline) {
        if (request.claimed)
            releaseClaim(now, request, RefusalReason::DeadlineExceeded);
        else
            refuse(now, request, RefusalReason::DeadlineExceeded);
        return true;
    }
    const bool needsClaim = !request.idempotent && !request.claimed;
    if (needsClaim && (!leaseIsLive(now) || !m_claims.breaker().wouldPass(now))) {
        refuse(now, request, RefusalReason::StoreUnavailable);
        return true;
    }
    if (needsClaim && m_claiming >= claimLimit()) {
        postponeClaim(now, request);
        return true;
    }
    request.reservation
        = m_pool.reserve(now, request.service, request.idempotent, request.failedServer);
    if (!request.reservation) {
        m_admission->pushFront(*node);
        m_servicesWithoutSlot.push_back(request.service);
        return true;
    }
    m_admission->slotTaken(request.service);
    start(now, request);
    return true;
}

std::size_t RequestDispatcher::claimLimit() const
{
    // A claim in progress holds a slot. Claims may take at most half of the slots, so that a slow
    // store does not block idempotent requests, which need no claim.
    return std::max<std::size_t>(1, static_cast<std::size_t>(m_pool.capacity()) / 2);
}

void RequestDispatcher::postponeClaim(TimePoint now, RequestState &request)
{
    if (m_postponedClaims.size() >= m_settings.queueLimit)
        refuse(now, request, RefusalReason::QueueFull);
    else
        m_postponedClaims.push_back(request.token);
}

void RequestDispatcher::requeuePostponedClaims()
{
    for (std::size_t available = claimLimit();
         available > m_claiming && !m_postponedClaims.empty();) {
        RequestState *request = find(m_postponedClaims.front());
        m_postponedClaims.pop_front();
        if (!request || request->phase != Phase::Queued || request->node.queued)
            continue;
        m_admission->pushFront(request->node);
        --available;
    }
}

void RequestDispatcher::endClaiming(RequestState &request)
{
    m_claiming -= request.claiming ? 1 : 0;
    request.claiming = false;
}

void RequestDispatcher::removeFromQueue(RequestState &request)
{
    if (request.node.queued)
        m_admission->remove(request.node);
}

void RequestDispatcher::start(TimePoint now, RequestState &request)
{
    clearTimer(request);
    if (request.idempotent || request.claimed) {
        dispatch(now, request);
        return;
    }
    request.phase = Phase::Claiming;
    request.claiming = true;
    ++m_claiming;
    setTimer(request, std::min(request.deadline, now + claimTimeLimit));
    m_claims.breaker().mayCall(now);
    m_claims.claim(now, request.token);
}

void RequestDispatcher::dispatch(TimePoint now, RequestState &request)
{
    clearTimer(request);
    endClaiming(request);
    // The process may have been suspended since it submitted the claim. Once its lease has expired,
    // other processes treat its claims as lost.
    if (!request.idempotent && !leaseIsLive(now)) {
        freeSlot(now, request, AttemptResult::None);
        releaseClaim(now, request, RefusalReason::StoreUnavailable);
        return;
    }
    if (now >= request.deadline) {
        freeSlot(now, request, AttemptResult::None);
        releaseClaim(now, request, RefusalReason::DeadlineExceeded);
        return;
    }
    if (!m_pool.acceptsRequests(request.reservation->server)) {
        freeSlot(now, request, AttemptResult::None);
        if (m_pool.hasServer(request.service))
            enqueue(now, request, true);
        else
            releaseClaim(now, request, RefusalReason::NoBackendServer);
        return;
    }
    request.phase = Phase::Running;
    request.attempt = ++m_lastAttempt;
    ++request.attempts;
    ++m_services[request.service].counters.attempts;
    m_attempts[request.attempt] = request.token;
    StartAttempt action;
    action.token = request.token;
    action.attempt = request.attempt;
    action.backendServer = m_pool.nameOf(request.reservation->server);
    // The limit counts from the reservation, because the owner of a borrowed slot assumes that an
    // attempt ends at most m_attemptLimit after the last time at which it may start.
    action.deadline = std::min(request.deadline, request.reservation->startedAt + m_attemptLimit);
    request.reservation->startedAt = now;
    m_actions.emplace_back(std::move(action));
}

void RequestDispatcher::freeSlot(TimePoint now, RequestState &request, AttemptResult result)
{
    if (!request.reservation)
        return;
    endClaiming(request);
    m_pool.release(now, *request.reservation, result);
    m_admission->slotReleased(request.service);
    request.reservation.reset();
}

AttemptResult RequestDispatcher::attemptResult(TimePoint now, const RequestState &request,
                                               AttemptStatus status,
                                               const RecordedAnswer *answer) const
{
    if (status == AttemptStatus::Answered)
        return answer && answer->status >= firstServerError ? AttemptResult::Failure
                                                            : AttemptResult::Success;
    if (status != AttemptStatus::TimedOut)
        return AttemptResult::Failure;
    // Time-outs caused by a short deadline of the caller must not eject a healthy server.
    const Duration slow
        = std::min(slowAttemptTime, m_pool.latency(request.service) * slowAttemptFactor);
    return now - request.reservation->startedAt >= slow ? AttemptResult::Failure
                                                        : AttemptResult::None;
}

void RequestDispatcher::attemptFinished(TimePoint now, std::uint64_t attempt, AttemptStatus status,
                                        std::shared_ptr<const RecordedAnswer> recorded)
{
    advance(now);
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    RequestState &request = *find(found->second);
    m_attempts.erase(found);
    request.failedServer = request.reservation->server;
    freeSlot(now, request, attemptResult(now, request, status, recorded.get()));
    switch (status) {
    case AttemptStatus::Answered: {
        if (!request.idempotent)
            m_claims.recordAnswer(now, request.token, std::move(recorded));
        AnswerRequest action;
        action.outcome = Outcome::Answer;
        action.attempt = attempt;
        answer(now, request, std::move(action));
        break;
    }
    case AttemptStatus::Refused:
    case AttemptStatus::NotSent:
        attemptNotRun(now, request, reasonOf(status));
        break;
    case AttemptStatus::ConnectionLost:
    case AttemptStatus::Truncated:
    case AttemptStatus::TimedOut:
        attemptUnknown(now, request, reasonOf(status));
        break;
    }
    finishEvent(now);
}

bool RequestDispatcher::retry(TimePoint now, RequestState &request)
{
    if (request.cancelled || request.attempts >= attemptCountLimit
        || !m_pool.hasServer(request.service)
        || now + m_pool.latency(request.service) / 2 >= request.deadline)
        return false;
    Service &service = m_services[request.service];
    if (!service.budget.withdraw(now)) {
        ++service.counters.retriesDenied;
        return false;
    }
    ++service.counters.retries;
    enqueue(now, request, true);
    return true;
}

void RequestDispatcher::attemptNotRun(TimePoint now, RequestState &request, RefusalReason reason)
{
    if (retry(now, request))
        return;
    if (request.idempotent)
        refuse(now, request, reason);
    else
        releaseClaim(now, request, reason);
}

void RequestDispatcher::attemptUnknown(TimePoint now, RequestState &request, RefusalReason reason)
{
    request.mayHaveRun = true;
    request.reason = reason;
    if (request.idempotent && retry(now, request))
        return;
    if (!request.idempotent) {
        m_claims.recordUnknown(now, request.token, reason);
        request.claimed = false;
    }
    refuse(now, request, reason);
}

void RequestDispatcher::releaseClaim(TimePoint now, RequestState &request, RefusalReason reason)
{
    if (request.idempotent) {
        refuse(now, request, reason);
        return;
    }
    clearTimer(request);
    request.phase = Phase::Releasing;
    request.reason = reason;
    m_claims.release(now, request.token);
}

void RequestDispatcher::refuse(TimePoint now, RequestState &request, RefusalReason reason)
{
    if (mayRecordRefusal(now, request, reason)) {
        recordRefusal(now, request, reason);
        return;
    }
    const bool claimIsOpen = request.phase == Phase::LookingUp || request.phase == Phase::Queued
                             || request.phase == Phase::Claiming
                             || request.phase == Phase::Refusing;
    if (!request.idempotent && claimIsOpen && !request.refusalRecorded)
        m_claims.abandon(now, request.token);
    AnswerRequest action;
    action.outcome = isNotRun(now, request) ? Outcome::NotRun : Outcome::Unknown;
    action.reason = request.mayHaveRun ? request.reason : reason;
    action.retryAfter = retryAfter(now, request.service, action.reason);
    answer(now, request, std::move(action));
}

/// Whether neither this nor any earlier copy of the request has run or can still run.
bool RequestDispatcher::isNotRun(TimePoint now, const RequestState &request) const
{
    if (request.mayHaveRun)
        return false;
    if (request.idempotent || request.callerAttempt == 1)
        return true;
    // Copies without an attempt number have no order, so a delayed copy could still claim the row
    // after its release.
    if (request.callerAttempt == 0)
        return false;
    // The row proves nothing once the id has expired: it may have been deleted and written again.
    const bool recorded = request.claimed || request.refusalRecorded;
    return (recorded && now <= request.created + ClaimLedger::retention)
           || m_settings.defects.refuseUnrecorded;
}

bool RequestDispatcher::mayRecordRefusal(TimePoint now, const RequestState &request,
                                         RefusalReason reason)
{
    return request.phase == Phase::Queued && !request.idempotent && !request.claimed
           && request.callerAttempt > 1 && !request.cancelled
           && reason != RefusalReason::StoreUnavailable && leaseIsLive(now)
           && !m_settings.defects.refuseUnrecorded && m_claims.mayRecordRefusal(now);
}

void RequestDispatcher::recordRefusal(TimePoint now, RequestState &request, RefusalReason reason)
{
    request.phase = Phase::Refusing;
    request.reason = reason;
    setTimer(request, now + refusalTimeLimit);
    m_claims.recordRefusal(now, request.token);
}

void RequestDispatcher::answer(TimePoint, RequestState &request, AnswerRequest action)
{
    clearTimer(request);
    action.token = request.token;
    auto &counters = m_services[request.service].counters;
    ++counters.outcomes[static_cast<std::size_t>(action.outcome)];
    if (action.outcome == Outcome::Answer)
        ++(action.recorded ? counters.answeredFromRecord : counters.answered);
    else
        ++counters.refused[static_cast<std::size_t>(action.reason)];
    m_actions.emplace_back(std::move(action));
    m_requests.erase(request.token);
}

void RequestDispatcher::requestCancelled(TimePoint now, RequestToken token)
{
    advance(now);
    RequestState *request = find(token);
    if (!request || request->cancelled)
        return;
    request->cancelled = true;
    ++m_services[request->service].counters.cancelled;
    if (request->phase == Phase::Queued) {
        removeFromQueue(*request);
        if (request->claimed)
            releaseClaim(now, *request, RefusalReason::None);
        else
            refuse(now, *request, RefusalReason::None);
    } else if (request->phase == Phase::LookingUp || request->phase == Phase::Claiming) {
        freeSlot(now, *request, AttemptResult::None);
        refuse(now, *request, RefusalReason::None);
    }
    finishEvent(now);
}

ClaimLedger::Hooks RequestDispatcher::claimHooks()
{
    ClaimLedger::Hooks hooks;
    hooks.commit = [this](CommitClaim action) {
        m_actions.emplace_back(std::move(action));
    };
    hooks.read = [this](ReadClaim action) {
        m_actions.emplace_back(std::move(action));
    };
    hooks.mayClaim = [this](TimePoint now, RequestToken token) {
        if (RequestState *request = find(token))
            enqueue(now, *request, false);
    };
    hooks.claimed = [this](TimePoint now, RequestToken token) {
        RequestState &request = *find(token);
        request.claimed = true;
        dispatch(now, request);
    };
    hooks.repeated = [this](TimePoint now, RequestToken token, const RepeatAnswer &repeat) {
        claimRepeated(now, token, repeat);
    };
    hooks.storeFailed = [this](TimePoint now, RequestToken token) {
        claimStoreFailed(now, token);
    };
    hooks.released = [this](TimePoint now, RequestToken token) {
        if (RequestState *request = find(token))
            refuse(now, *request, request->reason);
    };
    hooks.refusalRecorded = [this](TimePoint now, RequestToken token) {
        RequestState &request = *find(token);
        request.refusalRecorded = true;
        refuse(now, request, request.reason);
    };
    hooks.isMember = [this](const std::string &instance) {
        return m_members.contains(instance);
    };
    return hooks;
}

void RequestDispatcher::claimRepeated(TimePoint now, RequestToken token, const RepeatAnswer &repeat)
{
    RequestState &request = *find(token);
    freeSlot(now, request, AttemptResult::None);
    AnswerRequest action;
    action.outcome = repeat.outcome;
    action.reason = repeat.reason;
    action.recorded = repeat.recorded;
    if (repeat.outcome != Outcome::Answer)
        action.retryAfter = retryAfter(now, request.service, repeat.reason);
    answer(now, request, std::move(action));
}

void RequestDispatcher::claimStoreFailed(TimePoint now, RequestToken token)
{
    RequestState &request = *find(token);
    freeSlot(now, request, AttemptResult::None);
    const bool refusing = request.phase == Phase::Refusing;
    // The ledger closes or releases the claim itself. The phase Releasing keeps refuse() from
    // abandoning it again.
    request.phase = Phase::Releasing;
    refuse(now, request, refusing ? request.reason : RefusalReason::StoreUnavailable);
}

void RequestDispatcher::claimRead(TimePoint now, RequestToken token, ReadStatus status,
                                  const Row &row)
{
    advance(now);
    m_claims.claimRead(now, token, status, row);
    finishEvent(now);
}

void RequestDispatcher::claimCommitted(TimePoint now, RequestToken token,
                                       const CommitResult &result)
{
    advance(now);
    m_claims.claimCommitted(now, token, result);
    finishEvent(now);
}

} // namespace Peridot
