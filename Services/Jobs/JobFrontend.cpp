#include "PendingCall.h"

#include <Kernel/Jobs/JobRows.h>
#include <Kernel/Jobs/OrganisationUsage.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Delay before the first retry of a store call. It doubles with each retry up to the maximum.
constexpr std::chrono::milliseconds initialRetryDelay{20};
constexpr std::chrono::milliseconds maximumRetryDelay{200};
// Further attempts at a call would only add to the rate that the store refuses.
constexpr unsigned maximumRateLimitedRetries = 1;
// A call fails after this time when the store is unavailable, so that nothing was written. The
// answer arrives within the latency objective of callers (600 ms), which leaves them time to retry
// through another process.
constexpr std::chrono::milliseconds unavailableTimeout{350};
// A call that the store does not answer fails after two fifths of the caller's timeout. The caller
// can then retry with the same id through another process before its timeout ends.
constexpr int answerTimeoutNumerator = 2;
constexpr int answerTimeoutDenominator = 5;
// Outages of the store last seconds; a caller that retries sooner meets the same outage.
constexpr std::chrono::seconds outageRetryAfter{1};

// Tombstones that one process may write, a second and at once. Cancellations of unknown jobs are
// rare, unless a caller repeats them, and must leave the writes of the store to submissions.
constexpr double tombstonesPerSecond = 10;
constexpr double tombstoneBurst = 20;

// Counts of waiting jobs that are older than this are not reported to callers.
constexpr std::chrono::milliseconds maximumCountAge{2000};

Duration answerTimeout(const JobCall &call)
{
    return call.timeout * answerTimeoutNumerator / answerTimeoutDenominator;
}

/// Whether the job can be refused while its queue is overloaded: it is neither to last nor
/// periodic.
bool isShort(const JobSpecification &specification)
{
    return specification.occurrences == 0
           && std::none_of(specification.steps.begin(), specification.steps.end(),
                           [](const StepSpecification &step) { return step.longRunning; });
}

} // namespace

JobFrontend::JobFrontend(asio::io_context &context, Store &store, Hooks hooks)
    : m_context(context), m_store(store), m_hooks(std::move(hooks)),
      m_tombstoneLimit(tombstonesPerSecond, tombstoneBurst)
{
}

void JobFrontend::handle(JobCall call, Callback callback)
{
    auto pending = std::make_shared<PendingCall>();
    pending->call = std::move(call);
    pending->callback = std::move(callback);
    pending->arrivedAt = m_hooks.clock();
    pending->retryTimer = std::make_unique<asio::steady_timer>(m_context);
    startTimeout(pending);
    if (!authenticate(pending))
        return;
    switch (pending->call.kind) {
    case CallKind::Submit:
        return admit(pending);
    case CallKind::Query:
        return query(pending);
    case CallKind::Cancel:
        return cancel(pending);
    case CallKind::Count:
        return count(pending);
    }
}

void JobFrontend::startTimeout(const PendingCallPointer &pending)
{
    pending->timeoutTimer = std::make_unique<asio::steady_timer>(m_context);
    pending->timeoutTimer->expires_after(answerTimeout(pending->call));
    // The handler owns the pending call until the timer expires or the answer cancels it.
    pending->timeoutTimer->async_wait(
        [this, pending, alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
            if (!error && !alive.expired() && !pending->answered)
                fail(pending);
        });
}

void JobFrontend::commit(const PendingCallPointer &pending, const Transaction &transaction,
                         std::function<void(const CommitResult &)> next)
{
    const bool earlierWriteMayBeApplied = std::exchange(pending->writeMayBeApplied, true);
    m_store.commit(transaction, [pending, earlierWriteMayBeApplied, next = std::move(next),
                                 alive = std::weak_ptr(m_alive)](const CommitResult &result) {
        if (alive.expired() || pending->answered)
            return;
        pending->writeMayBeApplied
            = earlierWriteMayBeApplied || result.status == CommitStatus::Unknown;
        next(result);
    });
}

void JobFrontend::admit(const PendingCallPointer &pending)
{
    if (!isShort(pending->call.specification))
        return submit(pending);
    if (m_hooks.refuse) {
        if (const auto retryAfter = m_hooks.refuse(pending->call, pending->caller.organisation))
            return refuseUnlessAccepted(pending, *retryAfter);
    }
    if (!m_submissionThrottle.admit(m_hooks.clock()))
        return refuseUnlessAccepted(pending, m_submissionThrottle.retryAfter());
    submit(pending);
}

void JobFrontend::submissionRateLimited(const PendingCallPointer &pending)
{
    m_submissionThrottle.refusedByStore(m_hooks.clock());
    const bool mayBeRefused = isShort(pending->call.specification) && !pending->writeMayBeApplied;
    if (!mayBeRefused || pending->retries < maximumRateLimitedRetries)
        return retry(pending, [this, pending] { submit(pending); });
    refuseUnlessAccepted(pending, m_submissionThrottle.retryAfter());
}

void JobFrontend::refuseUnlessAccepted(const PendingCallPointer &pending,
                                       std::chrono::seconds retryAfter)
{
    const CallAnswer unavailable{.outcome = CallOutcome::Unavailable, .retryAfter = retryAfter};
    if (!m_refusalThrottle.admit(m_hooks.clock()))
        return answer(pending, unavailable);
    const std::string &id = pending->call.id;
    m_store.read(
        {jobKey(id), finishedKey(id)}, [this, pending, retryAfter, unavailable,
                                        alive = std::weak_ptr(m_alive)](const ReadResult &result) {
            if (alive.expired() || pending->answered)
                return;
            if (result.rateLimited)
                m_refusalThrottle.refusedByStore(m_hooks.clock());
            if (result.status != ReadStatus::Ok)
                return answer(pending, unavailable);
            if (isPresent(result.rows[0]) || isPresent(result.rows[1]))
                return answerAcceptedCopy(pending);
            answer(pending, {.outcome = CallOutcome::Overloaded, .retryAfter = retryAfter});
        });
}

void JobFrontend::submit(const PendingCallPointer &pending)
{
    const auto configuration = m_hooks.configuration();
    if (!configuration)
        return fail(pending);
    const JobCall &call = pending->call;
    const QueueSettings *queue = configuration->route(call.hostName, call.path);
    if (queue == nullptr) {
        // A newer configuration removed the queue while the call was pending.
        if (pending->writeMayBeApplied)
            return fail(pending);
        return answer(pending, {.outcome = CallOutcome::UnknownQueue});
    }
    // The key may have been removed while the call was pending.
    const auto caller = authorize(*configuration, *queue, call.key);
    if (!caller) {
        if (pending->writeMayBeApplied)
            return fail(pending);
        return answer(pending, {.outcome = CallOutcome::Unauthorized});
    }
    const auto *organisation = configuration->organisation(caller->organisation);
    if (organisation != nullptr && !fitsQuota(*organisation, call.specification)
        && !pending->writeMayBeApplied)
        return answer(pending, {.outcome = CallOutcome::TooLarge, .field = "quota"});
    SubmittedJob job;
    job.organisation = caller->organisation;
    job.id = call.id;
    job.acceptedAt = m_hooks.clock();
    job.specification = call.specification;
    job.queue = *queue;
    Transaction transaction;
    transaction.operationId = "submit/" + call.id;
    transaction.checks = {{jobKey(call.id), absentVersion},
                          {finishedKey(call.id), absentVersion},
                          {tombstoneKey(call.id), absentVersion}};
    transaction.writes = {{jobKey(call.id), encodeSubmittedJob(job)}};
    commit(pending, transaction,
           [this, pending](const CommitResult &result) { submitFinished(pending, result); });
}

void JobFrontend::submitFinished(const PendingCallPointer &pending, const CommitResult &result)
{
    // No submission is accepted while there is a tombstone, so that earlier writes of this call
    // have no effect either.
    if (hasConflict(result, tombstoneKey(pending->call.id)))
        return answer(pending,
                      {.outcome = CallOutcome::AlreadyCancelled, .retryAfter = tombstoneRetention});
    // After another conflict, another copy of this submission was accepted, by this or another
    // process, or an earlier write of this call was applied. The id is the same, so it is the same
    // job.
    if (result.status == CommitStatus::Conflict)
        return answerAcceptedCopy(pending);
    if (result.status == CommitStatus::Committed)
        return answer(pending, {.outcome = CallOutcome::Accepted});
    if (result.status == CommitStatus::Refused && !pending->writeMayBeApplied)
        return answer(pending, {.outcome = CallOutcome::TooLarge});
    if (result.rateLimited)
        return submissionRateLimited(pending);
    retry(pending, [this, pending] { submit(pending); });
}

void JobFrontend::query(const PendingCallPointer &pending)
{
    readRows(pending, {progressKey(pending->call.id)}, [this, pending](const ReadResult &result) {
        if (!isPresent(result.rows[0]))
            return queryJobRow(pending, false);
        const auto progress = parseProgressRow(result.rows[0]);
        if (!progress)
            return fail(pending);
        if (checkOwner(pending, progress->organisation))
            answer(pending, {.outcome = CallOutcome::Found, .phase = progress->phase});
    });
}

void JobFrontend::queryJobRow(const PendingCallPointer &pending, bool progressWasAbsent)
{
    const std::string &id = pending->call.id;
    readRows(pending, {jobKey(id), cancellationKey(id)},
             [this, pending, progressWasAbsent](const ReadResult &result) {
                 if (isPresent(result.rows[0])) {
                     if (!checkOwnerOfRow(pending, result.rows[0]))
                         return;
                     const JobPhase phase
                         = isPresent(result.rows[1]) ? JobPhase::Cancelled : JobPhase::Queued;
                     return answer(pending, {.outcome = CallOutcome::Found, .phase = phase});
                 }
                 if (progressWasAbsent)
                     return answer(pending, {.outcome = CallOutcome::UnknownJob});
                 // The job may have started and finished between the two reads.
                 readRows(pending, {progressKey(pending->call.id)},
                          [this, pending](const ReadResult &reread) {
                              if (isPresent(reread.rows[0]))
                                  return query(pending);
                              queryJobRow(pending, true);
                          });
             });
}

void JobFrontend::count(const PendingCallPointer &pending)
{
    readRows(pending, {std::string(pendingJobsKey)}, [this, pending](const ReadResult &result) {
        const auto counts = valueOrElse([&] { return parsePendingCounts(result.rows[0].value); },
                                        [](const Error &) { return PendingCounts{}; });
        // The scheduler writes the row regularly, so that an old row means that no scheduler is
        // running. Its successor may write it before the caller's timeout.
        if (result.storeMilliseconds - counts.storeMilliseconds > maximumCountAge.count())
            return retry(pending, [this, pending] { count(pending); });
        const auto number = counts.byQueue.find(pending->call.queue);
        answer(pending, {.outcome = CallOutcome::Counted,
                         .pending = number == counts.byQueue.end() ? 0 : number->second});
    });
}

void JobFrontend::readRows(const PendingCallPointer &pending, const std::vector<std::string> &keys,
                           std::function<void(const ReadResult &)> next)
{
    m_store.read(keys, [this, pending, keys, next = std::move(next),
                        alive = std::weak_ptr(m_alive)](const ReadResult &result) {
        if (alive.expired() || pending->answered)
            return;
        if (result.status == ReadStatus::Ok)
            return next(result);
        if (result.rateLimited && pending->retries >= maximumRateLimitedRetries)
            return fail(pending);
        retry(pending, [this, pending, keys, next] { readRows(pending, keys, next); });
    });
}

void JobFrontend::retry(const PendingCallPointer &pending, std::function<void()> attempt)
{
    const auto delay
        = std::min(initialRetryDelay * (1 << std::min(pending->retries, 5U)), maximumRetryDelay);
    ++pending->retries;
    const Duration timeout = answerTimeout(pending->call);
    const Duration limit
        = pending->writeMayBeApplied ? timeout : std::min<Duration>(timeout, unavailableTimeout);
    if (m_hooks.clock() + delay > pending->arrivedAt + limit)
        return fail(pending);
    pending->retryTimer->expires_after(delay);
    pending->retryTimer->async_wait(
        [pending, attempt = std::move(attempt),
         alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
            if (!error && !alive.expired() && !pending->answered)
                attempt();
        });
}

void JobFrontend::fail(const PendingCallPointer &pending)
{
    if (pending->writeMayBeApplied)
        return answer(pending, {.outcome = CallOutcome::Undetermined});
    answer(pending, {.outcome = CallOutcome::Unavailable, .retryAfter = outageRetryAfter});
}

void JobFrontend::answer(const PendingCallPointer &pending, const CallAnswer &answer)
{
    pending->answered = true;
    pending->retryTimer->cancel();
    pending->timeoutTimer->cancel();
    const JobCall &call = pending->call;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_hooks.clock() - pending->arrivedAt);
    if (call.kind == CallKind::Submit || call.kind == CallKind::Cancel
        || answer.outcome == CallOutcome::Unavailable
        || answer.outcome == CallOutcome::Undetermined)
        logEvent(LogLevel::Info, "call-answered",
                 {{"job", call.id},
                  {"call", callKindNames.nameOf(call.kind)},
                  {"queue", call.queue},
                  {"outcome", callOutcomeNames.nameOf(answer.outcome)},
                  {"attempts", static_cast<std::int64_t>(pending->retries + 1)},
                  {"ms", static_cast<std::int64_t>(elapsed.count())}});
    if (m_hooks.onAnswered)
        m_hooks.onAnswered(call, answer.outcome, m_hooks.clock() - pending->arrivedAt);
    pending->callback(answer);
}

} // namespace Peridot::Jobs
