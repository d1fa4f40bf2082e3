#pragma once

#include "ClaimStore.h"
#include <LibStore/GroupCommitter.h>
#include <LibStore/Store.h>
#include <LibStore/StorePacer.h>
#include <deque>
#include <memory>

namespace Peridot {

/// Claim rows in the table service. Writes of many requests share one transaction; reads and writes
/// stay within this process's part of the limits of the store.
class GroupedClaims : public ClaimStore
{
public:
    /// The callbacks of \a store run on the dispatcher thread, like the executor.
    /// \a limits are those of the store over all processes.
    GroupedClaims(const std::string &instance, std::unique_ptr<Store> store,
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
    std::deque<WaitingRead> m_reads; ///< not yet granted by the pacer
};

} // namespace Peridot
