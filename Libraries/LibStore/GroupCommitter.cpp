#include <LibStore/GroupCommitter.h>

#include <LibStore/CommitResolution.h>
#include <algorithm>
#include <utility>

namespace Peridot {

namespace {

// Lower bound of the interval of ticks while rows wait for other rows or tokens.
constexpr Duration shortestTick = std::chrono::milliseconds(1);

bool isExpected(const RowOperation &operation, const Row &row)
{
    return row.version == operation.check.expected;
}

// A version below the expected one, or an absent row, may come from a snapshot that is older than
// the row.
bool maybeStale(const RowOperation &operation, const Row &row)
{
    return row.version < operation.check.expected;
}

} // namespace

GroupCommitter::GroupCommitter(Store &store, StorePacer &pacer, GroupCommitterSettings settings,
                               OutcomeHook hook)
    : m_store(store), m_pacer(pacer), m_settings(std::move(settings)), m_hook(std::move(hook))
{
}

Result<void> GroupCommitter::submit(TimePoint now, RowOperation operation, Callback callback)
{
    if (operation.operationId.empty())
        return makeError(ErrorCode::InvalidValue, "operationId", "empty");
    if (operation.check.key != operation.write.key)
        return makeError(ErrorCode::InvalidValue, operation.write.key, "check of another row");
    if (m_open >= m_settings.operationLimit) {
        ++m_counters.refused;
        return makeError(ErrorCode::LimitExceeded, "operationLimit");
    }
    ++m_open;
    auto entry = std::make_unique<Operation>();
    entry->row = std::move(operation);
    entry->callback = std::move(callback);
    entry->submitted = now;
    m_queue.push_back(std::move(entry));
    return {};
}

void GroupCommitter::tick(TimePoint now)
{
    m_now = now;
    expire(now);
    startReadBacks(now);
    while (flush(now)) { }
}

std::optional<TimePoint> GroupCommitter::nextTick(TimePoint now)
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint time) {
        time = std::max(time, now + shortestTick);
        next = next ? std::min(*next, time) : time;
    };
    if (!m_readBacks.empty())
        consider(now + m_pacer.timeUntilRead(now));
    if (!m_queue.empty()) {
        const TimePoint oldest = m_queue.front()->submitted;
        const TimePoint due
            = m_queue.size() >= m_settings.flushRows ? now : oldest + m_settings.flushDelay;
        consider(std::max(due, now + m_pacer.timeUntilWrite(now)));
        consider(oldest + m_settings.queueTimeout);
    }
    return next;
}

bool GroupCommitter::flushDue(TimePoint now) const
{
    if (m_queue.empty() || m_flushesInFlight >= m_settings.flushLimit)
        return false;
    return m_queue.size() >= m_settings.flushRows
           || now >= m_queue.front()->submitted + m_settings.flushDelay;
}

bool GroupCommitter::flush(TimePoint now)
{
    if (!flushDue(now))
        return false;
    Operations operations = takeFlushable();
    if (operations.empty())
        return false;
    if (!m_pacer.tryWrite(now, operations.size())) {
        for (const auto &operation : operations)
            m_busyKeys.erase(operation->row.check.key);
        m_queue.insert(m_queue.begin(), std::make_move_iterator(operations.begin()),
                       std::make_move_iterator(operations.end()));
        return false;
    }
    send(std::move(operations));
    return true;
}

GroupCommitter::Operations GroupCommitter::takeFlushable()
{
    Operations taken;
    std::deque<std::unique_ptr<Operation>> rest;
    // An operation whose row is busy also holds back later ones of the same row.
    std::set<std::string> heldBack;
    while (!m_queue.empty() && taken.size() < m_settings.flushRows) {
        auto operation = std::move(m_queue.front());
        m_queue.pop_front();
        const std::string &key = operation->row.check.key;
        if (heldBack.contains(key) || !m_busyKeys.insert(key).second) {
            heldBack.insert(key);
            rest.push_back(std::move(operation));
        } else {
            taken.push_back(std::move(operation));
        }
    }
    m_queue.insert(m_queue.begin(), std::make_move_iterator(rest.begin()),
                   std::make_move_iterator(rest.end()));
    return taken;
}

void GroupCommitter::send(Operations operations)
{
    Transaction transaction;
    transaction.operationId
        = "group/" + m_settings.instance + "/" + std::to_string(++m_flushNumber);
    for (const auto &operation : operations) {
        transaction.checks.push_back(operation->row.check);
        transaction.writes.push_back(operation->row.write);
    }
    ++m_flushesInFlight;
    ++m_counters.flushes;
    m_counters.rowsSent += operations.size();
    auto group = std::make_shared<Operations>(std::move(operations));
    m_store.commit(transaction,
                   [this, group, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
                       if (!alive.expired())
                           flushFinished(std::move(*group), result);
                   });
}

void GroupCommitter::flushFinished(Operations operations, const CommitResult &result)
{
    --m_flushesInFlight;
    switch (result.status) {
    case CommitStatus::Committed:
        m_pacer.succeeded();
        for (auto &operation : operations)
            answer(*operation, CommitStatus::Committed, result.revision);
        break;
    case CommitStatus::Conflict:
        m_pacer.succeeded();
        handleConflict(std::move(operations), result);
        break;
    case CommitStatus::Unavailable:
    case CommitStatus::Refused:
        m_pacer.failed(m_now);
        handleUnavailable(std::move(operations));
        break;
    case CommitStatus::Unknown:
        m_pacer.failed(m_now);
        for (auto &operation : operations)
            ++operation->unknownOutcomes;
        m_readBacks.push_back({std::move(operations), false});
        break;
    }
    startReadBacks(m_now);
    while (flush(m_now)) { }
}

void GroupCommitter::handleConflict(Operations operations, const CommitResult &result)
{
    const std::set<std::string> conflicts(result.conflicts.begin(), result.conflicts.end());
    const auto inConflict = [&](const std::unique_ptr<Operation> &operation) {
        return conflicts.contains(operation->row.check.key);
    };
    const auto firstConflict
        = std::stable_partition(operations.begin(), operations.end(), std::not_fn(inConflict));
    Operations failed(std::make_move_iterator(firstConflict),
                      std::make_move_iterator(operations.end()));
    operations.erase(firstConflict, operations.end());
    // A conflict that names no row of the flush says nothing; the rows do.
    if (failed.empty())
        failed.swap(operations);
    resend(std::move(operations));
    m_readBacks.push_back({std::move(failed), true});
}

void GroupCommitter::handleUnavailable(Operations operations)
{
    Operations toResend;
    for (auto &operation : operations) {
        ++operation->attempts;
        const bool inDoubt = operation->unknownOutcomes > 0;
        if (inDoubt && isExpired(*operation))
            answer(*operation, CommitStatus::Unknown);
        else if (!inDoubt && operation->attempts >= m_settings.unavailableAttempts)
            answer(*operation, CommitStatus::Unavailable);
        else
            toResend.push_back(std::move(operation));
    }
    resend(std::move(toResend));
}

void GroupCommitter::resend(Operations operations)
{
    for (const auto &operation : operations)
        m_busyKeys.erase(operation->row.check.key);
    m_queue.insert(m_queue.begin(), std::make_move_iterator(operations.begin()),
                   std::make_move_iterator(operations.end()));
}

void GroupCommitter::startReadBacks(TimePoint now)
{
    while (!m_readBacks.empty() && m_pacer.tryRead(now, m_readBacks.front().operations.size())) {
        auto readBack = std::make_shared<ReadBack>(std::move(m_readBacks.front()));
        m_readBacks.pop_front();
        ++m_counters.readBacks;
        std::vector<std::string> keys;
        for (const auto &operation : readBack->operations)
            keys.push_back(operation->row.check.key);
        m_store.read(keys,
                     [this, readBack, alive = std::weak_ptr(m_alive)](const ReadResult &result) {
                         if (!alive.expired())
                             readBackFinished(std::move(*readBack), result);
                     });
    }
}

void GroupCommitter::readBackFinished(ReadBack readBack, const ReadResult &result)
{
    if (result.status != ReadStatus::Ok || result.rows.size() != readBack.operations.size()) {
        m_pacer.failed(m_now);
        Operations rest;
        for (auto &operation : readBack.operations) {
            if (isExpired(*operation))
                answer(*operation, CommitStatus::Unknown);
            else
                rest.push_back(std::move(operation));
        }
        if (!rest.empty())
            m_readBacks.push_back({std::move(rest), readBack.afterConflict});
    } else {
        m_pacer.succeeded();
        const Evidence evidence
            = readBack.afterConflict ? Evidence{} : evidenceOf(readBack, result.rows);
        Operations toResend;
        for (std::size_t index = 0; index < readBack.operations.size(); ++index)
            resolve(std::move(readBack.operations[index]), result.rows[index], evidence,
                    readBack.afterConflict, toResend);
        resend(std::move(toResend));
    }
    startReadBacks(m_now);
    while (flush(m_now)) { }
}

// Only operations whose single doubtful send is this flush tell of it; another one may have been
// applied by an earlier send.
GroupCommitter::Evidence GroupCommitter::evidenceOf(const ReadBack &readBack,
                                                    const std::vector<Row> &rows)
{
    Evidence evidence;
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const Operation &operation = *readBack.operations[index];
        if (operation.unknownOutcomes != 1)
            continue;
        if (isWrittenByOperation(rows[index], operation.row.operationId))
            evidence.appliedRevision = rows[index].version;
        else if (isExpected(operation.row, rows[index]))
            evidence.notApplied = true;
    }
    return evidence;
}

void GroupCommitter::resolve(std::unique_ptr<Operation> operation, const Row &row,
                             const Evidence &evidence, bool afterConflict, Operations &toResend)
{
    if (evidence.appliedRevision != absentVersion)
        return answer(*operation, CommitStatus::Committed, evidence.appliedRevision);
    // After a conflict, the absence of a row that was to be deleted is no sign of an old snapshot.
    const bool deleted
        = afterConflict && !operation->row.write.value && row.version == absentVersion;
    const bool unchanged
        = !deleted && (isExpected(operation->row, row) || maybeStale(operation->row, row));
    const auto owned = unchanged ? std::nullopt : wasApplied(*operation, row);
    if (owned == true)
        return answer(*operation, CommitStatus::Committed, row.version);
    if (unchanged) {
        if (isExpired(*operation))
            return answer(*operation, CommitStatus::Unknown);
        // The conflict contradicts the row: the read may be older than an effect of this operation.
        if (afterConflict)
            ++operation->unknownOutcomes;
        toResend.push_back(std::move(operation));
        return;
    }
    const bool certain = owned == false || (afterConflict && operation->unknownOutcomes == 0)
                         || (evidence.notApplied && operation->unknownOutcomes == 1);
    answer(*operation, certain ? CommitStatus::Conflict : CommitStatus::Unknown);
}

std::optional<bool> GroupCommitter::wasApplied(const Operation &operation, const Row &row) const
{
    if (m_hook) {
        if (const auto decision = m_hook(operation.row, row))
            return decision;
    }
    if (isWrittenByOperation(row, operation.row.operationId))
        return true;
    return std::nullopt;
}

void GroupCommitter::expire(TimePoint now)
{
    Operations expired;
    std::deque<std::unique_ptr<Operation>> waiting;
    for (auto &operation : m_queue) {
        const bool inDoubt = operation->unknownOutcomes > 0;
        const Duration limit = inDoubt ? m_settings.resolveTimeout : m_settings.queueTimeout;
        if (now >= operation->submitted + limit)
            expired.push_back(std::move(operation));
        else
            waiting.push_back(std::move(operation));
    }
    m_queue.swap(waiting);
    std::deque<ReadBack> readBacks;
    for (auto &readBack : m_readBacks) {
        Operations kept = removeExpired(readBack, expired);
        if (!kept.empty())
            readBacks.push_back({std::move(kept), readBack.afterConflict});
    }
    m_readBacks.swap(readBacks);
    for (auto &operation : expired)
        finish(*operation,
               operation->unknownOutcomes > 0 ? CommitStatus::Unknown : CommitStatus::Unavailable);
}

GroupCommitter::Operations GroupCommitter::removeExpired(ReadBack &readBack, Operations &expired)
{
    Operations kept;
    for (auto &operation : readBack.operations) {
        if (!isExpired(*operation)) {
            kept.push_back(std::move(operation));
            continue;
        }
        m_busyKeys.erase(operation->row.check.key);
        // A conflict that could not be read back leaves the operation in doubt as well.
        ++operation->unknownOutcomes;
        expired.push_back(std::move(operation));
    }
    return kept;
}

bool GroupCommitter::isExpired(const Operation &operation) const
{
    return m_now >= operation.submitted + m_settings.resolveTimeout;
}

void GroupCommitter::answer(Operation &operation, CommitStatus status, Version revision)
{
    m_busyKeys.erase(operation.row.check.key);
    finish(operation, status, revision);
}

void GroupCommitter::finish(Operation &operation, CommitStatus status, Version revision)
{
    CommitResult result;
    result.status = status;
    result.revision = revision;
    switch (status) {
    case CommitStatus::Committed:
        ++m_counters.committed;
        break;
    case CommitStatus::Conflict:
        ++m_counters.conflicts;
        result.conflicts = {operation.row.check.key};
        break;
    case CommitStatus::Unavailable:
    case CommitStatus::Refused:
        ++m_counters.unavailable;
        break;
    case CommitStatus::Unknown:
        ++m_counters.unknown;
        break;
    }
    --m_open;
    operation.callback(result);
}

} // namespace Peridot
