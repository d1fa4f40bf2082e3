#pragma once

#include "PlanSupport.h"

namespace Peridot {

/// Changes to the row of one pool (the ledger) and to the rows of its hosts in one planning pass.
/// They form one transaction, so that released and new permits do not conflict on the pool row.
class LedgerStep
{
public:
    LedgerStep(const FleetView &view, const PoolScope &scope);

    const PoolRecord &ledger() const { return m_ledger; }
    PoolRecord &changeLedger();

    /// Record of the host including the changes of this step, or null when there is none.
    const HostRecord *host(const std::string &name) const;
    HostRecord &changeHost(const std::string &name);
    void removeHost(const std::string &name);

    /// Sets the state of the host and the time of the change.
    void enter(const std::string &host, HostState state, TimePoint now);

    bool isFull() const { return m_hosts.size() + 3 >= maximumTransactionRows; }
    bool hasChanges() const { return m_ledgerChanged || !m_hosts.empty(); }
    Transaction transaction() const;

private:
    const FleetView &m_view;
    const PoolScope &m_scope;
    PoolRecord m_ledger;
    bool m_ledgerChanged = false;
    std::map<std::string, std::optional<HostRecord>> m_hosts;
};

} // namespace Peridot
