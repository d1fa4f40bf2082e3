#include "JobFrontend.h"

#include <Kernel/Jobs/JobRows.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Pause before a call of the store is repeated, doubled each time.
constexpr std::chrono::milliseconds firstPause{20};
constexpr std::chrono::milliseconds longestPause{200};
// A call that the store refuses is given up after this time: an answer inside the latency objective
// of callers (600 ms) lets them come back through another process in time.
constexpr std::chrono::milliseconds refusedLimit{350};
// A call that the store does not answer is given up after two fifths of the caller's patience: the
// caller can ask another process with the same id, instead of waiting for nothing.
constexpr int unansweredParts = 2;
constexpr int timeoutParts = 5;
// Outages of the store last seconds; a caller that comes back sooner meets the same one.
constexpr std::chrono::seconds outageRetryAfter{1};

// Oldest count of waiting jobs that is still told to callers.
constexpr std::chrono::milliseconds oldestCount{3500};

Duration unansweredLimit(const JobCall &call)
{
    return call.timeout * unansweredParts / timeoutParts;
}

bool isPresent(const Row &row)
{
    return row.version != absentVersion;
}

} // namespace

struct JobFrontend::Pending
{
    JobCall call;
    Callback callback;
    TimePoint arrivedAt;
    bool mayBeDone = false; ///< a write has no answer
    bool answered = false;
    unsigned attempts = 0;
    std::unique_ptr<asio::steady_timer> timer; ///< of the next attempt
    std::unique_ptr<asio::steady_timer> limitTimer; ///< gives the call up
};

JobFrontend::JobFrontend(asio::io_context &context, Store &store, Hooks hooks)
    : m_context(context), m_store(store), m_hooks(std::move(hooks))
{
}

void JobFrontend::handle(JobCall call, Callback callback)
{
    auto pending = std::make_shared<Pending>();
    pending->call = std::move(call);
    pending->callback = std::move(callback);
    pending->arrivedAt = m_hooks.clock();
    pending->timer = std::make_unique<asio::steady_timer>(m_context);
    startTimeout(pending);
    switch (pending->call.kind) {
    case CallKind::Submit:
        return submit(pending);
    case CallKind::Query:
        return query(pending);
    case CallKind::Cancel:
        return cancel(pending);
    case CallKind::Count:
        return count(pending);
    }
}

void JobFrontend::startTimeout(const PendingPointer &pending)
{
    pending->limitTimer = std::make_unique<asio::steady_timer>(m_context);
    pending->limitTimer->expires_after(unansweredLimit(pending->call));
    // The call keeps itself alive until it is answered, which cancels the timer.
    pending->limitTimer->async_wait(
        [this, pending, alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
            if (!error && !alive.expired() && !pending->answered)
                fail(pending);
        });
}

void JobFrontend::commit(const PendingPointer &pending, const Transaction &transaction,
                         std::function<void(const CommitResult &)> next)
{
    const bool mightBeDone = std::exchange(pending->mayBeDone, true);
    m_store.commit(transaction, [pending, mightBeDone, next = std::move(next),
                                 alive = std::weak_ptr(m_alive)](const CommitResult &result) {
        if (alive.expired() || pending->answered)
            return;
        pending->mayBeDone = mightBeDone || result.status == CommitStatus::Unknown;
        next(result);
    });
}

void JobFrontend::submit(const PendingPointer &pending)
{
    const ConfigurationState state = m_hooks.configuration();
    if (!state.configuration)
        return fail(pending);
    const JobCall &call = pending->call;
    const QueueSettings *queue = state.configuration->route(call.hostName, call.path);
    if (queue == nullptr) {
        // A newer configuration removed the queue while the call waited.
        if (pending->mayBeDone)
            return fail(pending);
        return answer(pending, {.outcome = CallOutcome::UnknownQueue});
    }
    SubmittedJob job;
    job.id = call.id;
    job.acceptedAt = m_hooks.clock();
    job.specification = call.specification;
    job.queue = *queue;
    Transaction transaction;
    transaction.operationId = "submit/" + call.id;
    transaction.checks
        = {{jobKey(call.id), absentVersion}, {progressKey(call.id), absentVersion}, state.row};
    transaction.writes = {{jobKey(call.id), encodeSubmittedJob(job)}};
    commit(pending, transaction,
           [this, pending](const CommitResult &result) { submitted(pending, result); });
}

void JobFrontend::submitted(const PendingPointer &pending, const CommitResult &result)
{
    const std::string &id = pending->call.id;
    switch (result.status) {
    case CommitStatus::Committed:
        return answer(pending, {.outcome = CallOutcome::Accepted});
    case CommitStatus::Conflict: {
        const auto conflicts = [&](const std::string &key) {
            return std::find(result.conflicts.begin(), result.conflicts.end(), key)
                   != result.conflicts.end();
        };
        // Another copy of the submission was accepted, here or elsewhere: it is the same job.
        if (conflicts(jobKey(id)) || conflicts(progressKey(id)))
            return answer(pending, {.outcome = CallOutcome::Accepted});
        for (const Row &row : result.currentRows) {
            if (row.key == m_hooks.configuration().row.key)
                m_hooks.onConfigurationRow(row);
        }
        return retry(pending, [this, pending] { submit(pending); });
    }
    case CommitStatus::Unknown:
    case CommitStatus::Unavailable:
        break;
    }
    retry(pending, [this, pending] { submit(pending); });
}

void JobFrontend::query(const PendingPointer &pending)
{
    readRows(pending, {progressKey(pending->call.id)}, [this, pending](const ReadResult &read) {
        if (!isPresent(read.rows[0]))
            return queryJobRow(pending, false);
        const auto phase = valueOrElse(
            [&]() -> Result<std::optional<JobPhase>> {
                BOOST_LEAF_AUTO(progress, parseJobProgress(read.rows[0].value));
                return std::optional<JobPhase>(progress.phase);
            },
            [&](const Error &error) {
                logEvent(LogLevel::Error, "row-unreadable",
                         {{"key", read.rows[0].key}, {"error", describe(error)}});
                return std::optional<JobPhase>();
            });
        if (!phase)
            return fail(pending);
        answer(pending, {.outcome = CallOutcome::Found, .phase = *phase});
    });
}

void JobFrontend::queryJobRow(const PendingPointer &pending, bool progressWasAbsent)
{
    const std::string &id = pending->call.id;
    readRows(pending, {jobKey(id), cancellationKey(id)},
             [this, pending, progressWasAbsent](const ReadResult &read) {
                 if (isPresent(read.rows[0])) {
                     const JobPhase phase
                         = isPresent(read.rows[1]) ? JobPhase::Cancelled : JobPhase::Queued;
                     return answer(pending, {.outcome = CallOutcome::Found, .phase = phase});
                 }
                 if (progressWasAbsent)
                     return answer(pending, {.outcome = CallOutcome::UnknownJob});
                 // The job may have begun and ended between the two reads.
                 readRows(pending, {progressKey(pending->call.id)},
                          [this, pending](const ReadResult &again) {
                              if (isPresent(again.rows[0]))
                                  return query(pending);
                              queryJobRow(pending, true);
                          });
             });
}

void JobFrontend::cancel(const PendingPointer &pending)
{
    const std::string &id = pending->call.id;
    readRows(pending, {jobKey(id), cancellationKey(id)}, [this, pending](const ReadResult &read) {
        if (!isPresent(read.rows[0]))
            return cancelFinished(pending);
        if (isPresent(read.rows[1]))
            return answer(pending, {.outcome = CallOutcome::Cancelled});
        cancelAccepted(pending, read.rows[0]);
    });
}

void JobFrontend::cancelAccepted(const PendingPointer &pending, const Row &job)
{
    Json::Value value(Json::objectValue);
    value["cancelled_ms"] = static_cast<Json::Int64>(toUnixMilliseconds(m_hooks.clock()));
    Transaction transaction;
    transaction.operationId = "cancel/" + pending->call.id;
    transaction.checks = {{job.key, job.version}};
    transaction.writes = {{cancellationKey(pending->call.id), writeJson(value)}};
    commit(pending, transaction, [this, pending](const CommitResult &result) {
        if (result.status == CommitStatus::Committed)
            return answer(pending, {.outcome = CallOutcome::Cancelled});
        // After a conflict the job has finished; after a lost answer the rows show the effect.
        retry(pending, [this, pending] { cancel(pending); });
    });
}

void JobFrontend::cancelFinished(const PendingPointer &pending)
{
    readRows(pending, {progressKey(pending->call.id)}, [this, pending](const ReadResult &read) {
        const CallOutcome outcome
            = isPresent(read.rows[0]) ? CallOutcome::Cancelled : CallOutcome::UnknownJob;
        answer(pending, {.outcome = outcome});
    });
}

void JobFrontend::count(const PendingPointer &pending)
{
    readRows(pending, {std::string(pendingJobsKey)}, [this, pending](const ReadResult &read) {
        const Json::Value counts
            = valueOrElse([&] { return parseJson(read.rows[0].value); },
                          [](const Error &) { return Json::Value(Json::objectValue); });
        // Without a scheduler nobody counts.
        const std::int64_t writtenAt = counts.get("store_ms", Json::Int64{0}).asInt64();
        if (read.storeMilliseconds - writtenAt > oldestCount.count())
            return fail(pending);
        const Json::Value number = counts["queues"].get(pending->call.queue, 0U);
        answer(pending,
               {.outcome = CallOutcome::Counted, .pending = number.isUInt() ? number.asUInt() : 0});
    });
}

void JobFrontend::readRows(const PendingPointer &pending, const std::vector<std::string> &keys,
                           std::function<void(const ReadResult &)> next)
{
    m_store.read(keys, [this, pending, keys, next = std::move(next),
                        alive = std::weak_ptr(m_alive)](const ReadResult &result) {
        if (alive.expired() || pending->answered)
            return;
        if (result.status == ReadStatus::Ok)
            return next(result);
        retry(pending, [this, pending, keys, next] { readRows(pending, keys, next); });
    });
}

void JobFrontend::retry(const PendingPointer &pending, std::function<void()> step)
{
    const auto pause = std::min(firstPause * (1 << std::min(pending->attempts, 5U)), longestPause);
    ++pending->attempts;
    const Duration unanswered = unansweredLimit(pending->call);
    const Duration limit
        = pending->mayBeDone ? unanswered : std::min<Duration>(unanswered, refusedLimit);
    if (m_hooks.clock() + pause > pending->arrivedAt + limit)
        return fail(pending);
    pending->timer->expires_after(pause);
    pending->timer->async_wait([pending, step = std::move(step),
                                alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
        if (!error && !alive.expired() && !pending->answered)
            step();
    });
}

void JobFrontend::fail(const PendingPointer &pending)
{
    if (pending->mayBeDone)
        return answer(pending, {.outcome = CallOutcome::Undetermined});
    answer(pending, {.outcome = CallOutcome::Unavailable, .retryAfter = outageRetryAfter});
}

void JobFrontend::answer(const PendingPointer &pending, const CallAnswer &answer)
{
    pending->answered = true;
    pending->timer->cancel();
    pending->limitTimer->cancel();
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
                  {"attempts", static_cast<std::int64_t>(pending->attempts + 1)},
                  {"ms", static_cast<std::int64_t>(elapsed.count())}});
    if (m_hooks.onAnswered)
        m_hooks.onAnswered(call, answer.outcome, m_hooks.clock() - pending->arrivedAt);
    pending->callback(answer);
}

} // namespace Peridot::Jobs
