#pragma once

#include <LibStore/Transaction.h>
#include <map>

namespace Peridot {

/// Table service without latency or faults. Faults are injected by whoever calls it.
class FakeTable
{
public:
    CommitResult commit(const Transaction &transaction);
    Row read(const std::string &key) const;
    /// All rows whose keys start with \a prefix.
    std::vector<Row> scan(const std::string &prefix) const;
    /// Writes one row without conditions.
    Version put(const std::string &key, const std::string &value);

    std::uint64_t commits() const { return m_commits; }
    std::uint64_t conflicts() const { return m_conflicts; }
    Version revision() const { return m_revision; }

private:
    std::map<std::string, Row> m_rows;
    Version m_revision = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_conflicts = 0;
};

} // namespace Peridot
