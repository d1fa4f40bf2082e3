#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibStore/RowTable.h>
#include <LibStore/Store.h>
#include <LibStore/StoreFault.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Peridot {

/// Deterministic store in memory for tests and measurements. It has no thread and reads no clock: a
/// call is only queued, and takes effect and is answered in step(), run() or advanceTo(). Effects
/// happen in the order of their times and, at the same time, in the order of the calls.
class MemoryStore : public Store
{
public:
    /// Returns the fault of a call. \a index counts the calls of this store from 0.
    using FaultHook = std::function<StoreFault(StoreCallKind kind, std::uint64_t index)>;

    explicit MemoryStore(std::uint64_t seed = 1) : m_random(seed) { }

    void commit(const Transaction &transaction, CommitCallback callback) override;
    void read(const std::vector<std::string> &keys, ReadCallback callback) override;
    void scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
              ReadCallback callback) override;

    /// Runs the next event that is due. Returns whether there was one.
    bool step();
    /// Runs all due events, also those that callbacks add. Returns their number.
    std::size_t run();
    /// Runs all events up to \a now in time order; the clock ends at \a now.
    void advanceTo(TimePoint now);
    TimePoint now() const { return m_now; }
    /// Time of the next event, if there is any.
    std::optional<TimePoint> nextEvent() const;

    /// Injects \a fault into one future call of this kind, after \a skip further calls without it.
    void scriptFault(StoreCallKind kind, const StoreFault &fault, std::size_t skip = 0);
    /// Injects \a fault into each call of this kind with the given probability, by the random
    /// source of this store. Probability 0 removes it.
    void setRandomFault(StoreCallKind kind, const StoreFault &fault, double probability);
    /// Decides the faults of calls for which no fault is scripted.
    void setFaultHook(FaultHook hook) { m_hook = std::move(hook); }
    /// Fails every call that would take effect in [from, until) with \a kind: Refuse or
    /// LoseAnswerBeforeEffect.
    void setDown(TimePoint from, TimePoint until, StoreFaultKind kind = StoreFaultKind::Refuse);
    /// Time from a call to its effect, and from the effect to the answer.
    void setLatency(Duration toEffect, Duration toAnswer);

    /// Refuses transactions with more checks and writes than \a entries, or with a larger value
    /// than \a rowBytes.
    void setLimits(std::size_t entries, std::size_t rowBytes);

    /// All rows in key order, as committed.
    std::vector<Row> snapshot() const { return m_table.snapshot(); }
    Row row(const std::string &key) const { return m_table.row(key); }
    /// Number of calls so far.
    std::uint64_t calls(StoreCallKind kind) const;

private:
    using Work = std::function<void()>;
    using QueueKey = std::pair<TimePoint, std::uint64_t>;

    struct ScriptedFault
    {
        StoreFault fault;
        std::size_t skip = 0;
    };
    struct RandomFault
    {
        StoreFault fault;
        double probability = 0;
    };
    struct DownPeriod
    {
        TimePoint from;
        TimePoint until;
        StoreFaultKind kind = StoreFaultKind::Refuse;
    };

    void schedule(TimePoint time, Work work);
    void runNext();
    StoreFault faultOf(StoreCallKind kind);
    std::optional<StoreFault> scriptedFault(StoreCallKind kind);
    std::optional<StoreFaultKind> downAt(TimePoint time) const;
    void answerCommit(const CommitCallback &callback, const CommitResult &result, Duration delay);
    void answerRead(const ReadCallback &callback, const ReadResult &result, Duration delay);
    void performCommit(const Transaction &transaction, const CommitCallback &callback,
                       const StoreFault &fault);
    void startRead(StoreCallKind kind, std::function<ReadResult(const RowTable &)> query,
                   const ReadCallback &callback);
    bool exceedsLimits(const Transaction &transaction) const;
    CommitResult applyRecorded(const Transaction &transaction);
    RowTable staleTable(std::size_t transactions) const;

    RowTable m_table;
    std::deque<std::vector<Row>> m_undo; ///< earlier states of the rows of the latest commits
    TimePoint m_now{};
    Duration m_toEffect{0};
    Duration m_toAnswer{0};
    std::size_t m_entries = std::numeric_limits<std::size_t>::max();
    std::size_t m_rowBytes = std::numeric_limits<std::size_t>::max();
    std::uint64_t m_sequence = 0;
    std::map<QueueKey, Work> m_events;
    std::uint64_t m_callIndex = 0;
    std::map<StoreCallKind, std::uint64_t> m_calls;
    std::map<StoreCallKind, std::deque<ScriptedFault>> m_script;
    std::map<StoreCallKind, std::vector<RandomFault>> m_randomFaults;
    std::vector<DownPeriod> m_downPeriods;
    FaultHook m_hook;
    RandomSource m_random;
};

} // namespace Peridot
