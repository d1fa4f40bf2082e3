#include "LedgerStep.h"

#include <Kernel/Fleet/FleetKeys.h>

namespace Peridot {

LedgerStep::LedgerStep(const FleetView &view, const PoolScope &scope)
    : m_view(view), m_scope(scope), m_ledger(scope.pool->record.value_or(PoolRecord()))
{
}

PoolRecord &LedgerStep::changeLedger()
{
    m_ledgerChanged = true;
    return m_ledger;
}

const HostRecord *LedgerStep::host(const std::string &name) const
{
    const auto changed = m_hosts.find(name);
    if (changed != m_hosts.end())
        return changed->second ? &*changed->second : nullptr;
    const auto *host = m_view.host(name);
    return host && host->record ? &*host->record : nullptr;
}

HostRecord &LedgerStep::changeHost(const std::string &name)
{
    auto [entry, inserted] = m_hosts.try_emplace(name);
    if (inserted)
        entry->second = m_view.host(name)->record;
    return *entry->second;
}

void LedgerStep::removeHost(const std::string &name)
{
    m_hosts[name] = std::nullopt;
}

void LedgerStep::enter(const std::string &host, HostState state, TimePoint now)
{
    auto &record = changeHost(host);
    record.state = state;
    record.since = now;
}

Transaction LedgerStep::transaction() const
{
    Transaction transaction;
    transaction.checks.push_back(leaseCheck(*m_scope.lease));
    const auto poolKey = rowKey(poolPrefix, m_scope.name);
    transaction.checks.push_back({poolKey, m_scope.pool->version});
    if (m_ledgerChanged) {
        auto ledger = m_ledger;
        ledger.fencingEpoch = m_scope.lease->fencingEpoch;
        transaction.writes.push_back({poolKey, encodePoolRecord(ledger)});
    }
    for (const auto &[name, record] : m_hosts) {
        const auto key = rowKey(hostPrefix, name);
        transaction.checks.push_back({key, m_view.host(name)->version});
        transaction.writes.push_back(
            {key, record ? std::optional(encodeHostRecord(*record)) : std::nullopt});
    }
    identifyOperation(transaction, "maintenance", m_scope.name);
    return transaction;
}

} // namespace Peridot
