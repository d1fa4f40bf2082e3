#pragma once

#include "JobCalls.h"
#include "StoreThrottle.h"
#include <Kernel/Jobs/JobRows.h>
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <LibStore/TokenBucket.h>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peridot::Jobs {

/// Answers the calls of callers by reading and writing rows of the store. A job is accepted by the
/// transaction that writes its row. No state of a job is kept in the process, so any process can
/// answer any call. Single-threaded on its context.
class JobFrontend
{
public:
    using Callback = std::function<void(const CallAnswer &)>;

    struct Hooks
    {
        std::function<TimePoint()> clock;
        /// Configuration in force; null when it is not known, or when what is known is too old to
        /// accept jobs by it.
        std::function<std::shared_ptr<const JobConfiguration>()> configuration;
        /// Called for each answer with the time since the call arrived, for metrics. May be empty.
        std::function<void(const JobCall &, CallOutcome, Duration)> onAnswered = {};
        /// Decides about a submission of an organisation (empty: none): nothing when it is
        /// accepted, otherwise the time after which the caller should repeat it. May be empty: all
        /// are accepted.
        std::function<std::optional<std::chrono::seconds>(const JobCall &call,
                                                          const std::string &organisation)>
            refuse = {};
    };

    JobFrontend(asio::io_context &context, Store &store, Hooks hooks);

    /// Answers \a call through \a callback, which runs exactly once, usually after this function
    /// has returned. A submission without a configuration or queue is answered before it returns.
    void handle(JobCall call, Callback callback);

private:
    /// Call that is not answered yet, with the state of its attempts.
    struct PendingCall;
    using PendingCallPointer = std::shared_ptr<PendingCall>;

    /// Finds the organisation of the caller. Answers the call when its key is not valid, or when
    /// the configuration is not known. Returns whether the call goes on.
    bool authenticate(const PendingCallPointer &pending);
    /// Whether the caller may see or cancel a job of \a organisation. Answers the call otherwise.
    bool checkOwner(const PendingCallPointer &pending, const std::string &organisation);
    /// The same for the job of a job row. The jobs of public queues are open to everybody.
    bool checkOwnerOfRow(const PendingCallPointer &pending, const Row &job);
    /// Progress of a job; nothing, and a log line, when the row is malformed.
    static std::optional<JobProgress> parseProgressRow(const Row &row);
    /// Starts the timer that fails the call when it is not answered within answerTimeout().
    void startTimeout(const PendingCallPointer &pending);
    /// Commits a transaction of the call and passes the result to \a next. From this call until the
    /// store answers, the call counts as one whose write may have been applied.
    void commit(const PendingCallPointer &pending, const Transaction &transaction,
                std::function<void(const CommitResult &)> next);
    /// Accepts the submission, unless its queue is overloaded.
    void admit(const PendingCallPointer &pending);
    /// Repeats a submission whose write the store refused because of the rate of all calls, at most
    /// once: further attempts would only add to that rate.
    void submissionRateLimited(const PendingCallPointer &pending);
    /// Refuses the submission, unless the rows show that an earlier copy of it was accepted. Says
    /// that the store is not available when it takes no more reads.
    void refuseUnlessAccepted(const PendingCallPointer &pending, std::chrono::seconds retryAfter);
    void submit(const PendingCallPointer &pending);
    /// Answers a submission whose id has been accepted before, unless another organisation did it.
    void answerAcceptedCopy(const PendingCallPointer &pending);
    void submitFinished(const PendingCallPointer &pending, const CommitResult &result);
    void query(const PendingCallPointer &pending);
    /// Answers a query from the job row, after the progress row was found absent. When the job row
    /// is absent too, both rows are read once more; \a progressWasAbsent marks this second pass.
    void queryJobRow(const PendingCallPointer &pending, bool progressWasAbsent);
    void cancel(const PendingCallPointer &pending);
    /// Writes the cancellation row of a job whose row exists.
    void cancelAcceptedJob(const PendingCallPointer &pending, const Row &job);
    /// Answers the cancellation of a job without a job row: it has finished, or was not accepted.
    void cancelWithoutJobRow(const PendingCallPointer &pending, bool hasTombstone);
    /// Writes the tombstone of a job that was not accepted, so that a submission which is still on
    /// its way has no effect after the cancellation was answered.
    void writeTombstone(const PendingCallPointer &pending);
    void count(const PendingCallPointer &pending);

    /// Reads rows, with retries, and passes the result of a successful read to \a next.
    void readRows(const PendingCallPointer &pending, const std::vector<std::string> &keys,
                  std::function<void(const ReadResult &)> next);
    /// Runs \a attempt after a delay, or fails the call when the delay would exceed its time limit.
    void retry(const PendingCallPointer &pending, std::function<void()> attempt);
    void answer(const PendingCallPointer &pending, const CallAnswer &answer);
    /// Answers Undetermined when a write of the call may have been applied, and Unavailable
    /// otherwise.
    void fail(const PendingCallPointer &pending);

    asio::io_context &m_context;
    Store &m_store;
    Hooks m_hooks;
    StoreThrottle m_submissionThrottle;
    StoreThrottle m_refusalThrottle; ///< of the reads before a refusal
    TokenBucket m_tombstoneLimit; ///< of the writes for cancellations of unknown jobs
    /// Callbacks that run after the destruction find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
