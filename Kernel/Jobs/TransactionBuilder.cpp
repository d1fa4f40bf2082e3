#include <Kernel/Jobs/TransactionBuilder.h>

#include <utility>

namespace Peridot::Jobs {

namespace {

// Upper bounds of what an encoding adds to the call, and to each entry beside its key and its
// value.
constexpr std::size_t callOverheadBytes = 256;
constexpr std::size_t entryOverheadBytes = 128;

std::size_t encodedBytes(const RowCheck &check)
{
    return entryOverheadBytes + check.key.size();
}

/// Values are encoded as Base64.
std::size_t encodedBytes(const RowWrite &write)
{
    const std::size_t value = write.value ? 4 * ((write.value->size() + 2) / 3) : 0;
    return entryOverheadBytes + write.key.size() + value;
}

} // namespace

TransactionBuilder::TransactionBuilder(std::string operationId, TransactionLimits limits)
    : m_limits(limits), m_bytes(callOverheadBytes)
{
    m_transaction.operationId = std::move(operationId);
}

bool TransactionBuilder::add(const std::vector<RowCheck> &checks,
                             const std::vector<RowWrite> &writes)
{
    std::size_t bytes = m_bytes;
    for (const RowCheck &check : checks)
        bytes += encodedBytes(check);
    for (const RowWrite &write : writes)
        bytes += encodedBytes(write);
    if (entries() + checks.size() + writes.size() > m_limits.entries || bytes > m_limits.bytes)
        return false;
    m_bytes = bytes;
    m_transaction.checks.insert(m_transaction.checks.end(), checks.begin(), checks.end());
    m_transaction.writes.insert(m_transaction.writes.end(), writes.begin(), writes.end());
    return true;
}

std::size_t TransactionBuilder::entries() const
{
    return m_transaction.checks.size() + m_transaction.writes.size();
}

} // namespace Peridot::Jobs
