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
    // The holder stops acting before it tells others that the lease is free.
    m_held.reset();
    m_releasing = true;
    m_wanted = false;
}

void LeaseKeeper::setGuard(LeaseGuard guard)
{
    const bool same
        = std::equal(guard.checks.begin(), guard.checks.end(), m_guard.checks.begin(),
                     m_guard.checks.end(), [](const auto &left, const auto &right) {
                         return left.key == right.key && left.expected == right.expected;
                     });
    if (!same)
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
    const bool ended = m_settings.hasEnded && m_settings.hasEnded(m_row.holder);
    return m_row.holder.empty() || ended || now >= m_rowSeenAt + m_row.duration;
}

bool LeaseKeeper::holdsRow() const
{
    return m_row.holder == m_settings.holder;
}

std::optional<StoreRequest> LeaseKeeper::nextRequest(TimePoint now)
{
    if (m_releaseDone || now < m_nextRequestAt)
        return std::nullopt;
    if (m_mustRead)
        return ReadRows{{m_settings.key}};
    if (m_releasing)
        return releaseRequest(now);
    if (m_guardConflict)
        return std::nullopt;
    if (holdsRow()) {
        if (now < m_nextRenewal && !m_renewSoon)
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
    if (!holdsRow()) {
        m_releaseDone = true;
        return std::nullopt;
    }
    return writeTransaction(now, m_row.epoch, true);
}

Transaction LeaseKeeper::writeTransaction(TimePoint now, std::uint64_t epoch, bool release)
{
    Attempt attempt;
    attempt.sentAt = now;
    attempt.guard = m_guard;
    attempt.release = release;
    attempt.row.holder = release ? std::string() : m_settings.holder;
    attempt.row.epoch = epoch;
    attempt.row.duration = m_settings.timing.leaseDuration;
    attempt.row.expiryMilliseconds = toUnixMilliseconds(now + m_settings.timing.leaseDuration);
    // The time keeps the id unique when a keeper of this row is created again.
    attempt.row.operation = m_settings.holder + '/' + m_settings.key + '/'
                            + std::to_string(now.time_since_epoch().count()) + '/'
                            + std::to_string(++m_operationCount);

    Transaction transaction;
    transaction.operationId = attempt.row.operation;
    if (!m_settings.defects.renewWithoutVersionCheck)
        transaction.checks.push_back({m_settings.key, m_rowVersion});
    if (!release)
        transaction.checks.insert(transaction.checks.end(), m_guard.checks.begin(),
                                  m_guard.checks.end());
    if (release && m_settings.deleteOnRelease)
        transaction.writes.push_back({m_settings.key, std::nullopt});
    else
        transaction.writes.push_back({m_settings.key, m_writer(attempt.row)});
    m_renewSoon = false;
    m_lastOperation = attempt.row.operation;
    m_attempts.emplace(attempt.row.operation, std::move(attempt));
    return transaction;
}

void LeaseKeeper::committed(TimePoint now, const CommitResult &result)
{
    const auto found = m_attempts.find(m_lastOperation);
    if (found == m_attempts.end()) {
        // A scan has shown the effect of this write before its answer arrived.
        m_mustRead = result.status != CommitStatus::Committed;
        return;
    }
    switch (result.status) {
    case CommitStatus::Committed: {
        const Attempt attempt = found->second;
        takeEffect(attempt, result.revision);
        m_rowSeenAt = now;
        // Earlier writes of unknown outcome checked an older row version and can no longer apply.
        m_attempts.clear();
        return;
    }
    case CommitStatus::Conflict: {
        const auto &conflicts = result.conflicts;
        const bool rowChanged
            = std::find(conflicts.begin(), conflicts.end(), m_settings.key) != conflicts.end();
        const auto &checks = found->second.guard.checks;
        // A guard that was replaced while the write was under way may already be the right one.
        const bool guardIsNew
            = !std::equal(checks.begin(), checks.end(), m_guard.checks.begin(),
                          m_guard.checks.end(), [](const auto &left, const auto &right) {
                              return left.key == right.key && left.expected == right.expected;
                          });
        // The attempt stays known: a retry below this layer conflicts with its own first write.
        m_mustRead = rowChanged;
        if (!rowChanged) {
            m_attempts.erase(found);
            m_guardConflict = !guardIsNew;
            m_renewSoon = true;
        }
        return;
    }
    case CommitStatus::Unavailable:
        m_attempts.erase(found);
        m_renewSoon = holdsRow();
        m_nextRequestAt = now + m_settings.timing.storeRetry;
        return;
    case CommitStatus::Unknown:
        m_mustRead = true;
        m_renewSoon = holdsRow();
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
    m_mustRead = false;
    if (row.version != absentVersion) {
        observeRow(now, row);
        return;
    }
    if (m_releasing)
        m_releaseDone = true;
    // NOTE: A stale read looks the same as a deleted row. The next write checks that the row is
    // absent, so a wrong guess ends in a conflict and another read.
    m_row = LeaseRow{};
    m_rowVersion = absentVersion;
    m_rowKnown = true;
    m_rowSeenAt = now;
}

void LeaseKeeper::observeRow(TimePoint now, const Row &row)
{
    if (row.version == absentVersion || (m_rowKnown && row.version <= m_rowVersion))
        return;
    LeaseRow parsed = valueOrElse([&] { return parseLeaseRow(row.value); },
                                  [](const Error &) { return LeaseRow{}; });
    const auto own = m_attempts.find(parsed.operation);
    if (own != m_attempts.end()) {
        const Attempt attempt = own->second;
        takeEffect(attempt, row.version);
        m_rowSeenAt = now;
        m_attempts.clear();
        return;
    }
    if (parsed.holder != m_settings.holder && !m_settings.defects.ignoreOwnExpiry)
        m_held.reset();
    m_row = std::move(parsed);
    m_rowVersion = row.version;
    m_rowSeenAt = now;
    m_rowKnown = true;
    m_highestEpoch = std::max(m_highestEpoch, m_row.epoch);
}

void LeaseKeeper::takeEffect(const Attempt &attempt, Version version)
{
    m_row = attempt.row;
    m_rowVersion = version;
    m_rowKnown = true;
    m_highestEpoch = std::max(m_highestEpoch, m_row.epoch);
    if (attempt.release) {
        m_releaseDone = true;
        return;
    }
    if (m_releasing)
        return;
    const auto &timing = m_settings.timing;
    m_held = HeldLease{m_settings.name, attempt.row.epoch, version,
                       attempt.sentAt + timing.leaseDuration - timing.leaseMargin};
    m_confirmedGuard = attempt.guard;
    m_confirmedWriteSentAt = attempt.sentAt;
    m_nextRenewal = attempt.sentAt + timing.leaseRenewal;
}

} // namespace Peridot
