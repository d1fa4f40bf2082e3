#pragma once

#include "ClaimStore.h"
#include <LibStore/GroupCommitter.h>
#include <LibStore/Store.h>
#include <LibStore/StorePacer.h>
#include <deque>
#include <memory>

namespace Peridot {

/// Claim store in the table service. Writes of many requests are grouped in one transaction. Reads
/// and writes stay within this process's share of the limits of the store.
class GroupedClaimStore : public ClaimStore
{
public:
    /// \a store must run its callbacks on the dispatcher thread, as \a executor does. \a limits are
    /// the limits of the store over all processes.
    GroupedClaimStore(const std::string &instance, std::unique_ptr<Store> store,
                      DispatcherExecutor executor, const StorePacerSettings &limits = {});

    void read(TimePoint now, const std::string &key, ReadCallback callback) override;
    void commit(TimePoint now, const CommitClaim &claim, CommitCallback callback) override;
    void tick(TimePoint now) override;
    std::optional<TimePoint> nextTick(TimePoint now) override;
    void setProcesses(TimePoint now, std::size_t processes) override;

private:
    struct WaitingRead
    {
        TimePoint since;
        std::string key;
        ReadCallback callback;
    };

    void sendReads(TimePoint now);
    void sendRead(const WaitingRead &read);

    std::unique_ptr<Store> m_store;
    DispatcherExecutor m_executor;
    StorePacer m_pacer;
    GroupCommitter m_committer;
    std::deque<WaitingRead> m_reads; ///< waiting for the pacer
};

} // namespace Peridot
