#pragma once

#include "JobCalls.h"
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Peridot::Jobs {

/// The configuration in force and the row from which it was read.
struct ConfigurationState
{
    std::shared_ptr<const JobConfiguration> configuration; ///< null before the first version
    RowCheck row; ///< key and version of the row
};

/// Answers calls of callers from the store. A job is accepted by the transaction that writes its
/// row, which checks that the configuration row has not changed. Processes keep no state for
/// callers, so each can answer any call. Single-threaded on its context.
class JobFrontend
{
public:
    using Callback = std::function<void(const CallAnswer &)>;

    struct Hooks
    {
        std::function<TimePoint()> clock;
        std::function<ConfigurationState()> configuration;
        /// Called when a conflict shows a configuration row that differs from the one in force.
        std::function<void(const Row &)> onConfigurationRow;
        /// Called for each answer, for metrics. May be empty.
        std::function<void(const JobCall &, CallOutcome, Duration)> onAnswered = {};
    };

    JobFrontend(asio::io_context &context, Store &store, Hooks hooks);

    /// Answers \a call by \a callback, which runs exactly once, after this function has returned.
    void handle(JobCall call, Callback callback);

private:
    struct Pending;
    using PendingPointer = std::shared_ptr<Pending>;

    /// Fails the call when it is not answered within its time limit.
    void startTimeout(const PendingPointer &pending);
    /// Commits a write of a call. Until the store answers, the write may have been applied.
    void commit(const PendingPointer &pending, const Transaction &transaction,
                std::function<void(const CommitResult &)> next);
    void submit(const PendingPointer &pending);
    void submitted(const PendingPointer &pending, const CommitResult &result);
    void query(const PendingPointer &pending);
    void queryJobRow(const PendingPointer &pending, bool progressWasAbsent);
    void cancel(const PendingPointer &pending);
    void cancelAccepted(const PendingPointer &pending, const Row &job);
    void cancelFinished(const PendingPointer &pending);
    void count(const PendingPointer &pending);

    void readRows(const PendingPointer &pending, const std::vector<std::string> &keys,
                  std::function<void(const ReadResult &)> next);
    /// Runs \a step after a pause, or fails the call when its time limit ends before.
    void retry(const PendingPointer &pending, std::function<void()> step);
    void answer(const PendingPointer &pending, const CallAnswer &answer);
    /// Answers Undetermined when a write may have been applied, and Unavailable otherwise.
    void fail(const PendingPointer &pending);

    asio::io_context &m_context;
    Store &m_store;
    Hooks m_hooks;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
