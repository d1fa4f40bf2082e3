#include <Kernel/Membership/LeaseKeeper.h>

#include <algorithm>
#include <utility>

namespace Peridot {

LeaseKeeper::LeaseKeeper(LeaseKeeperSettings settings, ValueWriter writer)
    : m_settings(std::move(settings)), m_writer(std::move(writer))
{
}

void LeaseKeeper::setWanted(bool wanted)
{
    m_wanted = wanted && !m_releasing;
}

void LeaseKeeper::release()
{
    // The holder must stop acting before the row shows others that the lease is free.
    m_held.reset();
    m_releasing = true;
    m_resigning = false;
    m_wanted = false;
}

void LeaseKeeper::resign()
{
    if (m_releasing)
        return;
    release();
    m_resigning = true;
}

void LeaseKeeper::finishRelease()
{
    m_releaseDone = !m_resigning;
    if (std::exchange(m_resigning, false))
        m_releasing = false;
}

void LeaseKeeper::setGuard(LeaseGuard guard)
{
    const bool sameChecks
        = std::equal(guard.checks.begin(), guard.checks.end(), m_guard.checks.begin(),
                     m_guard.checks.end(), [](const auto &left, const auto &right) {
                         return left.key == right.key && left.expected == right.expected;
                     });
    if (!sameChecks)
        m_guardConflict = false;
    m_guard = std::move(guard);
}

void LeaseKeeper::observe(TimePoint now, const Row &row)
{
    observeRow(now, row);
}

std::optional<HeldLease> LeaseKeeper::held(TimePoint now) const
{
    if (!m_held || (now >= m_held->end && !m_settings.defects.ignoreOwnExpiry))
        return std::nullopt;
    return m_held;
}

bool LeaseKeeper::isFree(TimePoint now) const
{
    if (!m_rowKnown)
        return false;
    const bool holderEnded = m_settings.hasEnded && m_settings.hasEnded(m_row.holder);
    return m_row.holder.empty() || holderEnded || now >= m_rowObservedAt + m_row.duration;
}

bool LeaseKeeper::isRowHolder() const
{
    return m_row.holder == m_settings.holder;
}

std::optional<StoreRequest> LeaseKeeper::nextRequest(TimePoint now)
{
    if (m_releaseDone || now < m_nextRequestAt)
        return std::nullopt;
    if (m_readRequired)
        return ReadRows{{m_settings.key}};
    if (m_releasing)
        return releaseRequest(now);
    if (m_guardConflict)
        return std::nullopt;
    if (isRowHolder()) {
        if (now < m_nextRenewal && !m_renewalRequested)
            return std::nullopt;
        if (m_deferred && now < m_nextRenewal + m_settings.timing.leaseRenewal)
            return std::nullopt;
        return writeTransaction(now, m_row.epoch, false);
    }
    if (!m_wanted || !isFree(now))
        return std::nullopt;
    return writeTransaction(now, m_highestEpoch + 1, false);
}

std::optional<StoreRequest> LeaseKeeper::releaseRequest(TimePoint now)
{
    if (!isRowHolder()) {
        finishRelease();
        return std::nullopt;
    }
    return writeTransaction(now, m_row.epoch, true);
}

Transaction LeaseKeeper::writeTransaction(TimePoint now, std::uint64_t epoch, bool release)
{
    PendingWrite write;
    write.sentAt = now;
    write.guard = m_guard;
    write.release = release;
    write.row.holder = release ? std::string() : m_settings.holder;
    write.row.epoch = epoch;
    write.row.duration = m_settings.timing.leaseDuration;
    write.row.expiryMilliseconds = toUnixMilliseconds(now + m_settings.timing.leaseDuration);
    // The time keeps the id unique when another LeaseKeeper is created for the same row.
    write.row.operation = m_settings.holder + '/' + m_settings.key + '/'
                          + std::to_string(now.time_since_epoch().count()) + '/'
                          + std::to_string(++m_operationCount);

    Transaction transaction;
    transaction.operationId = write.row.operation;
    if (!m_settings.defects.renewWithoutVersionCheck)
        transaction.checks.push_back({m_settings.key, m_rowVersion});
    if (!release)
        transaction.checks.insert(transaction.checks.end(), m_guard.checks.begin(),
                                  m_guard.checks.end());
    if (release && m_settings.deleteOnRelease)
        transaction.writes.push_back({m_settings.key, std::nullopt});
    else
        transaction.writes.push_back({m_settings.key, m_writer(write.row)});
    m_renewalRequested = false;
    m_lastOperation = write.row.operation;
    m_pendingWrites.emplace(write.row.operation, std::move(write));
    return transaction;
}

void LeaseKeeper::committed(TimePoint now, const CommitResult &result)
{
    const auto found = m_pendingWrites.find(m_lastOperation);
    if (found == m_pendingWrites.end()) {
        // A scan returned the row of this write before the reply to the write arrived.
        m_readRequired = result.status != CommitStatus::Committed;
        return;
    }
    switch (result.status) {
    case CommitStatus::Committed: {
        const PendingWrite write = found->second;
        applyWrite(write, result.revision);
        m_rowObservedAt = now;
        // Earlier writes with an unknown outcome checked an older row version and can no longer
        // take effect.
        m_pendingWrites.clear();
        return;
    }
    case CommitStatus::Conflict: {
        const auto &conflicts = result.conflicts;
        const bool rowChanged
            = std::find(conflicts.begin(), conflicts.end(), m_settings.key) != conflicts.end();
        const auto &checks = found->second.guard.checks;
        // A guard that was set while the write was in flight may already be up to date.
        const bool guardReplaced
            = !std::equal(checks.begin(), checks.end(), m_guard.checks.begin(),
                          m_guard.checks.end(), [](const auto &left, const auto &right) {
                              return left.key == right.key && left.expected == right.expected;
                          });
        // The write stays pending: after a retry by a lower layer, the conflict may be with the
        // first transmission of the same write.
        m_readRequired = rowChanged;
        if (!rowChanged) {
            m_pendingWrites.erase(found);
            m_guardConflict = !guardReplaced;
            m_renewalRequested = true;
        }
        return;
    }
    case CommitStatus::Unavailable:
    case CommitStatus::Refused:
        m_pendingWrites.erase(found);
        m_renewalRequested = isRowHolder();
        m_nextRequestAt = now + m_settings.timing.storeRetry;
        return;
    case CommitStatus::Unknown:
        m_readRequired = true;
        m_renewalRequested = isRowHolder();
        return;
    }
}

void LeaseKeeper::rowsRead(TimePoint now, const ReadResult &result)
{
    if (result.status != ReadStatus::Ok || result.rows.empty()) {
        m_nextRequestAt = now + m_settings.timing.storeRetry;
        return;
    }
    const Row &row = result.rows.front();
    const bool deleted = row.version == absentVersion && m_settings.deleteOnRelease;
    if (row.version < m_rowVersion && !deleted) {
        m_nextRequestAt = now + m_settings.timing.staleRetry;
        return;
    }
    m_readRequired = false;
    if (row.version != absentVersion) {
        observeRow(now, row);
        return;
    }
    if (m_releasing)
        finishRelease();
    // NOTE: A stale read looks the same as a deleted row. The next write checks that the row is
    // absent, so after a stale read it conflicts and the row is read again.
    m_row = LeaseRow{};
    m_rowVersion = absentVersion;
    m_rowKnown = true;
    m_rowObservedAt = now;
}

void LeaseKeeper::observeRow(TimePoint now, const Row &row)
{
    if (row.version == absentVersion || (m_rowKnown && row.version <= m_rowVersion))
        return;
    LeaseRow parsed = valueOrElse([&] { return parseLeaseRow(row.value); },
                                  [](const Error &) { return LeaseRow{}; });
    const auto own = m_pendingWrites.find(parsed.operation);
    if (own != m_pendingWrites.end()) {
        const PendingWrite write = own->second;
        applyWrite(write, row.version);
        m_rowObservedAt = now;
        m_pendingWrites.clear();
        return;
    }
    if (parsed.holder != m_settings.holder && !m_settings.defects.ignoreOwnExpiry)
        m_held.reset();
    m_row = std::move(parsed);
    m_rowVersion = row.version;
    m_rowObservedAt = now;
    m_rowKnown = true;
    m_highestEpoch = std::max(m_highestEpoch, m_row.epoch);
}

void LeaseKeeper::applyWrite(const PendingWrite &write, Version version)
{
    m_row = write.row;
    m_rowVersion = version;
    m_rowKnown = true;
    m_highestEpoch = std::max(m_highestEpoch, m_row.epoch);
    if (write.release) {
        finishRelease();
        return;
    }
    if (m_releasing)
        return;
    const auto &timing = m_settings.timing;
    m_held = HeldLease{m_settings.name, write.row.epoch, version,
                       write.sentAt + timing.leaseDuration - timing.leaseMargin};
    m_confirmedGuard = write.guard;
    m_confirmedWriteSentAt = write.sentAt;
    m_nextRenewal = write.sentAt + timing.leaseRenewal;
}

} // namespace Peridot
