#pragma once

#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <LibStore/StorePacer.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Peridot {

/// Conditional write of one row. The check and the write name the same row, and the written value
/// should carry the operation id as in isWrittenByOperation(), so that an unknown outcome can be
/// resolved.
struct RowOperation
{
    std::string operationId;
    RowCheck check;
    RowWrite write;
};

struct GroupCommitterSettings
{
    std::string instance; ///< first part of the operation ids of flushes; unique for each start
    std::size_t flushRows = rowsPerStoreCall; ///< number of queued rows that starts a flush
    Duration flushDelay = std::chrono::milliseconds(5); ///< age of the oldest row that starts one
    std::size_t flushLimit = 4; ///< flushes in flight
    std::size_t operationLimit = 10000; ///< operations without an answer
    Duration queueTimeout = std::chrono::seconds(1); ///< then an unsent row is answered Unavailable
    /// Age at which an operation whose outcome is still unknown is answered Unknown.
    Duration resolveTimeout = std::chrono::seconds(5);
    unsigned unavailableAttempts = 1; ///< sends of a row before it is answered Unavailable
};

/// Merges independent single-row operations into transactions, one for each flush. Operations on
/// the same row keep their order and never share a flush. Single-threaded: the time is passed in,
/// and the store must run its callbacks on the thread of the owner. Callbacks of open operations
/// are dropped by the destructor, and must not destroy the committer.
///
/// The answer of each operation is final. Committed and Conflict are certain; Unavailable means not
/// applied. After a commit with an unknown outcome, the rows are read back. A row in its old state
/// is sent again, which is safe because its check lets only one of both sends take effect. A row
/// that was overwritten since and does not carry the operation id is answered Unknown, unless the
/// hook or an unchanged row of the same flush determines the outcome.
class GroupCommitter
{
public:
    using Callback = std::function<void(const CommitResult &)>;
    /// Gets a \a row that is not in the state that the check expects. Returns true when it shows
    /// that the operation was applied, and false when the operation was not and never will be.
    /// When it returns nothing, the committer decides with isWrittenByOperation().
    using OutcomeHook
        = std::function<std::optional<bool>(const RowOperation &operation, const Row &row)>;

    struct Counters
    {
        std::uint64_t flushes = 0;
        std::uint64_t rowsSent = 0;
        std::uint64_t readBacks = 0;
        std::uint64_t committed = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t unavailable = 0;
        std::uint64_t unknown = 0;
        std::uint64_t refused = 0; ///< by submit()
    };

    GroupCommitter(Store &store, StorePacer &pacer, GroupCommitterSettings settings,
                   OutcomeHook hook = {});
    GroupCommitter(const GroupCommitter &) = delete;
    GroupCommitter &operator=(const GroupCommitter &) = delete;

    /// Queues an operation. \a callback runs later, never inside this call. Errors: LimitExceeded
    /// when there are too many open operations; InvalidValue when check and write name different
    /// rows or the operation id is empty.
    Result<void> submit(TimePoint now, RowOperation operation, Callback callback);

    /// Sends flushes that are due, as far as the pacer permits. Answers operations that timed out.
    void tick(TimePoint now);

    /// Time of the next call of tick() that is needed if nothing else happens.
    std::optional<TimePoint> nextTick(TimePoint now);

    /// Operations without an answer.
    std::size_t open() const { return m_open; }
    const Counters &counters() const { return m_counters; }

private:
    struct Operation
    {
        RowOperation row;
        Callback callback;
        TimePoint submitted;
        unsigned attempts = 0; ///< sends that ended as Unavailable
        unsigned unknownOutcomes = 0; ///< sends with an unknown outcome
    };
    using Operations = std::vector<std::unique_ptr<Operation>>;

    struct ReadBack
    {
        Operations operations;
        bool afterConflict = false;
    };
    /// Outcome of a flush as far as the snapshot of its rows shows it.
    struct Evidence
    {
        Version appliedRevision = absentVersion;
        bool notApplied = false;
    };

    bool flushDue(TimePoint now) const;
    bool flush(TimePoint now);
    Operations takeFlushable();
    void send(Operations operations);
    void flushFinished(Operations operations, const CommitResult &result);
    void handleConflict(Operations operations, const CommitResult &result);
    void handleUnavailable(Operations operations);
    void startReadBacks(TimePoint now);
    void readBackFinished(ReadBack readBack, const ReadResult &result);
    static Evidence evidenceOf(const ReadBack &readBack, const std::vector<Row> &rows);
    void resolve(std::unique_ptr<Operation> operation, const Row &row, const Evidence &evidence,
                 bool afterConflict, Operations &toResend);
    std::optional<bool> wasApplied(const Operation &operation, const Row &row) const;
    void resend(Operations operations);
    void expire(TimePoint now);
    Operations removeExpired(ReadBack &readBack, Operations &expired);
    bool isExpired(const Operation &operation) const;
    /// Releases the row of the operation and calls its callback.
    void answer(Operation &operation, CommitStatus status, Version revision = absentVersion);
    /// Only calls the callback: the row of a queued operation may be in use by another one.
    void finish(Operation &operation, CommitStatus status, Version revision = absentVersion);

    Store &m_store;
    StorePacer &m_pacer;
    const GroupCommitterSettings m_settings;
    const OutcomeHook m_hook;
    TimePoint m_now{};
    std::deque<std::unique_ptr<Operation>> m_queue;
    std::deque<ReadBack> m_readBacks; ///< waiting for a read
    std::set<std::string> m_busyKeys; ///< rows in flight or in a read-back
    std::size_t m_flushesInFlight = 0;
    std::size_t m_open = 0;
    std::uint64_t m_flushNumber = 0;
    Counters m_counters;
    /// Store callbacks that run after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot
