#pragma once

#include "ClaimStore.h"

namespace Peridot {

/// Claim store of a process that is configured without a store: answers every call as Unavailable.
class UnavailableClaimStore : public ClaimStore
{
public:
    explicit UnavailableClaimStore(DispatcherExecutor executor)
        : m_executor(std::move(executor)) { }

    void read(TimePoint, const std::string &key, ReadCallback callback) override
    {
        m_executor([key, callback = std::move(callback)] {
            Row row;
            row.key = key;
            callback(ReadStatus::Unavailable, row);
        });
    }

    void commit(TimePoint, const CommitClaim &, CommitCallback callback) override
    {
        m_executor([callback = std::move(callback)] { callback(CommitResult{}); });
    }

    void tick(TimePoint) override { }
    std::optional<TimePoint> nextTick(TimePoint) override { return std::nullopt; }
    void setProcesses(TimePoint, std::size_t) override { }

private:
    DispatcherExecutor m_executor;
};

} // namespace Peridot
