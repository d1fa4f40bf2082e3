#pragma once

#include "ClaimStore.h"
#include <LibStore/Store.h>
#include <memory>

namespace Peridot {

/// Claim rows in the table service. The store runs its callbacks on the dispatcher thread.
class StoreClaims : public ClaimStore
{
public:
    explicit StoreClaims(std::unique_ptr<Store> store);

    void read(const std::string &key, ReadCallback callback) override;
    void commit(const CommitClaim &claim, CommitCallback callback) override;

private:
    std::unique_ptr<Store> m_store;
};

} // namespace Peridot
