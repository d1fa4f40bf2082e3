#pragma once

#include "JobCalls.h"
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Peridot::Jobs {

/// The configuration in force and the row that it came from.
struct ConfigurationState
{
    std::shared_ptr<const JobConfiguration> configuration; ///< null before the first version
    RowCheck row; ///< its row in the store
};

/// Answers the calls of callers from the store. A job is accepted by the transaction that writes
/// its row, under the condition that the configuration is still the newest; no process remembers
/// anything for a caller. Single-threaded on its context.
class JobFrontend
{
public:
    using Callback = std::function<void(const CallAnswer &)>;

    struct Hooks
    {
        std::function<TimePoint()> clock;
        std::function<ConfigurationState()> configuration;
        /// The store has shown this row of the configuration to be newer than the one in force.
        std::function<void(const Row &)> onConfigurationRow;
        /// Empty: nobody counts.
        std::function<void(const JobCall &, CallOutcome, Duration)> onAnswered = {};
    };

    JobFrontend(asio::io_context &context, Store &store, Hooks hooks);

    /// Calls \a callback once, later.
    void handle(JobCall call, Callback callback);

private:
    struct Pending;
    using PendingPointer = std::shared_ptr<Pending>;

    /// Gives the call up when its time is over, whatever it waits for.
    void limitTime(const PendingPointer &pending);
    /// Writes for a call. While no answer is there, the call may be done.
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
    /// Runs \a step after a pause, or gives up when the caller's patience or \a limit is over.
    void again(const PendingPointer &pending, std::function<void()> step);
    void answer(const PendingPointer &pending, const CallAnswer &answer);
    void giveUp(const PendingPointer &pending);

    asio::io_context &m_context;
    Store &m_store;
    Hooks m_hooks;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
