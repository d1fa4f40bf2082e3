#pragma once

#include <LibStore/Transaction.h>
#include <cstddef>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// Largest transaction that the store accepts.
struct TransactionLimits
{
    std::size_t entries = 100; ///< checks, writes and removals together
    std::size_t bytes = 1'000'000; ///< of the encoded call
};

/// Builds a transaction within the limits of the store. Work that does not fit any more goes into
/// the next transaction.
class TransactionBuilder
{
public:
    explicit TransactionBuilder(std::string operationId, TransactionLimits limits = {});

    /// Adds the checks and writes together. Returns false, and adds none, when they do not fit.
    bool add(const std::vector<RowCheck> &checks, const std::vector<RowWrite> &writes);

    std::size_t entries() const;
    Transaction take() { return std::move(m_transaction); }

private:
    Transaction m_transaction;
    TransactionLimits m_limits;
    std::size_t m_bytes;
};

} // namespace Peridot::Jobs
