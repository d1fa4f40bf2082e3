#pragma once

#include "ClaimStore.h"

namespace Peridot {

/// Claim store of a process without a store: every call is Unavailable.
class AbsentClaimStore : public ClaimStore
{
public:
    explicit AbsentClaimStore(DispatcherExecutor executor) : m_executor(std::move(executor)) { }

    void read(const std::string &key, ReadCallback callback) override
    {
        m_executor([key, callback = std::move(callback)] {
            Row row;
            row.key = key;
            callback(ReadStatus::Unavailable, row);
        });
    }

    void commit(const CommitClaim &, CommitCallback callback) override
    {
        m_executor([callback = std::move(callback)] { callback(CommitResult{}); });
    }

private:
    DispatcherExecutor m_executor;
};

} // namespace Peridot
