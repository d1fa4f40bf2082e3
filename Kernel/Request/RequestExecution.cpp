#include "RequestDispatcher.h"

#include <algorithm>

namespace Peridot {

namespace {

/// Attempts of one request.
constexpr unsigned attemptCountLimit = 4;
/// A claim that is not written after this time counts as failed.
constexpr Duration claimTimeLimit = std::chrono::seconds(1);
/// A refusal that is not recorded after this time is answered with outcome unknown.
constexpr Duration refusalTimeLimit = std::chrono::milliseconds(250);
constexpr int firstServerError = 500;
/// An attempt that timed out speaks against its server when it ran for this many typical times.
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
    unpark();
    m_blocked.clear();
    while (m_admission->waiting() > 0 && m_pool.hasFreeServer()) {
        if (!startNext(now))
            return;
    }
}

bool RequestDispatcher::startNext(TimePoint now)
{
    QueuedRequest *node = m_admission->take(now, [this](ServiceIndex service) {
        return m_pool.hasFreeServer(service)
               && std::find(m_blocked.begin(), m_blocked.end(), service) == m_blocked.end();
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
        park(now, request);
        return true;
    }
    request.reservation = m_pool.reserve(now, request.service, request.idempotent, request.avoid);
    if (!request.reservation) {
        m_admission->pushFront(*node);
        m_blocked.push_back(request.service);
        return true;
    }
    m_admission->slotTaken(request.service);
    start(now, request);
    return true;
}

std::size_t RequestDispatcher::claimLimit() const
{
    // While the store is slow, claims must not hold the slots that idempotent requests need.
    return std::max<std::size_t>(1, static_cast<std::size_t>(m_pool.capacity()) / 2);
}

void RequestDispatcher::park(TimePoint now, RequestState &request)
{
    if (m_parked.size() >= m_settings.queueLimit)
        refuse(now, request, RefusalReason::QueueFull);
    else
        m_parked.push_back(request.token);
}

void RequestDispatcher::unpark()
{
    for (std::size_t room = claimLimit(); room > m_claiming && !m_parked.empty();) {
        RequestState *request = find(m_parked.front());
        m_parked.pop_front();
        if (!request || request->phase != Phase::Queued || request->node.queued)
            continue;
        m_admission->pushFront(request->node);
        --room;
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
    // The process may have been frozen since the claim: without a live lease the other processes
    // treat its claims as lost.
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
    // Counted from the reservation: a lent slot is held for this long at most.
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
    // A caller with a short deadline must not get a healthy server ejected.
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
    request.avoid = request.reservation->server;
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

/// Whether no copy of the request up to this one can have run or can run later.
bool RequestDispatcher::isNotRun(TimePoint now, const RequestState &request) const
{
    if (request.mayHaveRun)
        return false;
    if (request.idempotent || request.callerAttempt == 1)
        return true;
    // Copies without a number have no order: an unread one could still run after the release.
    if (request.callerAttempt == 0)
        return false;
    // The row of an expired id may have been deleted and written again since.
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
    // The ledger ends the claim itself.
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
