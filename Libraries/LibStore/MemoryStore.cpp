#include <LibStore/MemoryStore.h>

#include <algorithm>

namespace Peridot {

namespace {

// Bounds the memory that stale reads need; tests ask for a few transactions at most.
constexpr std::size_t undoLimit = 64;

bool delaysEffect(const StoreFault &fault)
{
    return fault.kind == StoreFaultKind::DelayEffect || fault.kind == StoreFaultKind::LateEffect;
}

bool losesRead(StoreFaultKind kind)
{
    return kind == StoreFaultKind::Refuse || kind == StoreFaultKind::LoseAnswerBeforeEffect
           || kind == StoreFaultKind::LoseAnswerAfterEffect || kind == StoreFaultKind::LateEffect;
}

CommitResult failedCommit(StoreFaultKind kind)
{
    CommitResult result;
    result.status
        = kind == StoreFaultKind::Refuse ? CommitStatus::Unavailable : CommitStatus::Unknown;
    return result;
}

} // namespace

void MemoryStore::commit(const Transaction &transaction, CommitCallback callback)
{
    const StoreFault fault = faultOf(StoreCallKind::Commit);
    const Duration delay = m_toEffect + (delaysEffect(fault) ? fault.delay : Duration(0));
    if (fault.kind == StoreFaultKind::LateEffect)
        answerCommit(callback, failedCommit(fault.kind), m_toEffect + m_toAnswer);
    schedule(m_now + delay, [this, transaction, callback = std::move(callback), fault] {
        performCommit(transaction, callback, fault);
    });
}

void MemoryStore::setLimits(std::size_t entries, std::size_t rowBytes)
{
    m_entries = entries;
    m_rowBytes = rowBytes;
}

void MemoryStore::performCommit(const Transaction &transaction, const CommitCallback &callback,
                                const StoreFault &fault)
{
    if (fault.kind == StoreFaultKind::LateEffect) {
        applyRecorded(transaction);
        return;
    }
    if (const auto down = downAt(m_now))
        return answerCommit(callback, failedCommit(*down), m_toAnswer);
    if (exceedsLimits(transaction)) {
        CommitResult refused;
        refused.status = CommitStatus::Refused;
        return answerCommit(callback, refused, m_toAnswer);
    }
    switch (fault.kind) {
    case StoreFaultKind::Refuse:
    case StoreFaultKind::LoseAnswerBeforeEffect:
        return answerCommit(callback, failedCommit(fault.kind), m_toAnswer);
    case StoreFaultKind::LoseAnswerAfterEffect:
        applyRecorded(transaction);
        return answerCommit(callback, failedCommit(fault.kind), m_toAnswer);
    case StoreFaultKind::Duplicate:
        applyRecorded(transaction);
        return answerCommit(callback, applyRecorded(transaction), m_toAnswer);
    case StoreFaultKind::DelayAnswer:
        return answerCommit(callback, applyRecorded(transaction), m_toAnswer + fault.delay);
    default:
        return answerCommit(callback, applyRecorded(transaction), m_toAnswer);
    }
}

void MemoryStore::read(const std::vector<std::string> &keys, ReadCallback callback)
{
    startRead(
        StoreCallKind::Read, [keys](const RowTable &table) { return table.read(keys); }, callback);
}

void MemoryStore::scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
                       ReadCallback callback)
{
    startRead(
        StoreCallKind::Scan,
        [prefix, startAfter, limit](const RowTable &table) {
            return table.scan(prefix, startAfter, limit);
        },
        callback);
}

void MemoryStore::startRead(StoreCallKind kind, std::function<ReadResult(const RowTable &)> query,
                            const ReadCallback &callback)
{
    const StoreFault fault = faultOf(kind);
    const Duration delay = m_toEffect + (delaysEffect(fault) ? fault.delay : Duration(0));
    schedule(m_now + delay, [this, query = std::move(query), callback, fault] {
        if (downAt(m_now) || losesRead(fault.kind))
            return answerRead(callback, ReadResult{}, m_toAnswer);
        const Duration extra
            = fault.kind == StoreFaultKind::DelayAnswer ? fault.delay : Duration(0);
        if (fault.kind == StoreFaultKind::StaleRead)
            return answerRead(callback, query(staleTable(fault.staleTransactions)), m_toAnswer);
        answerRead(callback, query(m_table), m_toAnswer + extra);
    });
}

void MemoryStore::answerCommit(const CommitCallback &callback, const CommitResult &result,
                               Duration delay)
{
    schedule(m_now + delay, [callback, result] { callback(result); });
}

void MemoryStore::answerRead(const ReadCallback &callback, const ReadResult &result, Duration delay)
{
    schedule(m_now + delay, [callback, result] { callback(result); });
}

bool MemoryStore::exceedsLimits(const Transaction &transaction) const
{
    const bool hasLargeRow = std::any_of(
        transaction.writes.begin(), transaction.writes.end(),
        [this](const RowWrite &write) { return write.value && write.value->size() > m_rowBytes; });
    return hasLargeRow || transaction.checks.size() + transaction.writes.size() > m_entries;
}

CommitResult MemoryStore::applyRecorded(const Transaction &transaction)
{
    std::vector<Row> earlier;
    for (const auto &write : transaction.writes)
        earlier.push_back(m_table.row(write.key));
    CommitResult result = m_table.apply(transaction);
    if (result.status == CommitStatus::Committed && !earlier.empty()) {
        m_undo.push_back(std::move(earlier));
        if (m_undo.size() > undoLimit)
            m_undo.pop_front();
    }
    return result;
}

RowTable MemoryStore::staleTable(std::size_t transactions) const
{
    RowTable table = m_table;
    const std::size_t count = std::min(transactions, m_undo.size());
    for (std::size_t index = 0; index < count; ++index) {
        for (const auto &row : m_undo[m_undo.size() - 1 - index])
            table.restore(row);
    }
    return table;
}

void MemoryStore::schedule(TimePoint time, Work work)
{
    m_events.emplace(QueueKey{time, m_sequence++}, std::move(work));
}

void MemoryStore::runNext()
{
    auto node = m_events.extract(m_events.begin());
    m_now = std::max(m_now, node.key().first);
    node.mapped()();
}

bool MemoryStore::step()
{
    if (m_events.empty() || m_events.begin()->first.first > m_now)
        return false;
    runNext();
    return true;
}

std::size_t MemoryStore::run()
{
    std::size_t count = 0;
    while (step())
        ++count;
    return count;
}

void MemoryStore::advanceTo(TimePoint now)
{
    while (!m_events.empty() && m_events.begin()->first.first <= now)
        runNext();
    m_now = std::max(m_now, now);
}

std::optional<TimePoint> MemoryStore::nextEvent() const
{
    if (m_events.empty())
        return std::nullopt;
    return m_events.begin()->first.first;
}

void MemoryStore::scriptFault(StoreCallKind kind, const StoreFault &fault, std::size_t skip)
{
    m_script[kind].push_back({fault, skip});
}

void MemoryStore::setRandomFault(StoreCallKind kind, const StoreFault &fault, double probability)
{
    auto &faults = m_randomFaults[kind];
    std::erase_if(faults, [&](const RandomFault &entry) { return entry.fault.kind == fault.kind; });
    if (probability > 0)
        faults.push_back({fault, probability});
}

void MemoryStore::setDown(TimePoint from, TimePoint until, StoreFaultKind kind)
{
    m_downPeriods.push_back({from, until, kind});
}

void MemoryStore::setLatency(Duration toEffect, Duration toAnswer)
{
    m_toEffect = toEffect;
    m_toAnswer = toAnswer;
}

std::uint64_t MemoryStore::calls(StoreCallKind kind) const
{
    const auto found = m_calls.find(kind);
    return found == m_calls.end() ? 0 : found->second;
}

std::optional<StoreFault> MemoryStore::scriptedFault(StoreCallKind kind)
{
    auto &script = m_script[kind];
    if (script.empty())
        return std::nullopt;
    if (script.front().skip > 0) {
        --script.front().skip;
        return std::nullopt;
    }
    const StoreFault fault = script.front().fault;
    script.pop_front();
    return fault;
}

StoreFault MemoryStore::faultOf(StoreCallKind kind)
{
    const std::uint64_t index = m_callIndex++;
    ++m_calls[kind];
    if (const auto fault = scriptedFault(kind))
        return *fault;
    if (m_hook)
        return m_hook(kind, index);
    for (const auto &entry : m_randomFaults[kind]) {
        if (m_random.unit() < entry.probability)
            return entry.fault;
    }
    return {};
}

std::optional<StoreFaultKind> MemoryStore::downAt(TimePoint time) const
{
    for (const auto &period : m_downPeriods) {
        if (time >= period.from && time < period.until)
            return period.kind;
    }
    return std::nullopt;
}

} // namespace Peridot
