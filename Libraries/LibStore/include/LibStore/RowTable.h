#pragma once

#include <LibStore/Transaction.h>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Peridot {

/// Versioned rows of a table in memory. Single-threaded. One revision counter covers all rows, so a
/// version never repeats.
class RowTable
{
public:
    /// Applies the transaction when all its checks hold. A transaction without writes leaves the
    /// revision as it is.
    CommitResult apply(const Transaction &transaction);

    /// The row, with version 0 when it is absent.
    Row row(const std::string &key) const;

    ReadResult read(const std::vector<std::string> &keys) const;
    ReadResult scan(const std::string &prefix, const std::string &startAfter,
                    std::size_t limit) const;

    /// Sets a row to an earlier state; version 0 removes it.
    void restore(const Row &row);

    Version revision() const { return m_revision; }
    std::size_t size() const { return m_rows.size(); }
    std::vector<Row> snapshot() const;

private:
    std::map<std::string, Row> m_rows;
    Version m_revision = absentVersion;
};

} // namespace Peridot
