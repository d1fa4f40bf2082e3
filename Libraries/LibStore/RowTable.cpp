#include <LibStore/RowTable.h>

#include <algorithm>

namespace Peridot {

CommitResult RowTable::apply(const Transaction &transaction)
{
    CommitResult result;
    for (const auto &check : transaction.checks) {
        if (row(check.key).version != check.expected)
            result.conflicts.push_back(check.key);
    }
    if (!result.conflicts.empty()) {
        result.status = CommitStatus::Conflict;
        for (const auto &check : transaction.checks)
            result.currentRows.push_back(row(check.key));
        return result;
    }
    if (!transaction.writes.empty())
        ++m_revision;
    for (const auto &write : transaction.writes) {
        if (write.value)
            m_rows[write.key] = Row{write.key, m_revision, *write.value};
        else
            m_rows.erase(write.key);
    }
    result.status = CommitStatus::Committed;
    result.revision = m_revision;
    return result;
}

Row RowTable::row(const std::string &key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return Row{key, absentVersion, {}};
    return found->second;
}

ReadResult RowTable::read(const std::vector<std::string> &keys) const
{
    ReadResult result;
    result.status = ReadStatus::Ok;
    result.rows.reserve(keys.size());
    for (const auto &key : keys)
        result.rows.push_back(row(key));
    return result;
}

ReadResult RowTable::scan(const std::string &prefix, const std::string &startAfter,
                          std::size_t limit) const
{
    ReadResult result;
    result.status = ReadStatus::Ok;
    auto position
        = startAfter < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(startAfter);
    for (; position != m_rows.end() && position->first.starts_with(prefix); ++position) {
        if (result.rows.size() == limit) {
            result.more = true;
            break;
        }
        result.rows.push_back(position->second);
    }
    return result;
}

void RowTable::restore(const Row &row)
{
    if (row.version == absentVersion)
        m_rows.erase(row.key);
    else
        m_rows[row.key] = row;
}

std::vector<Row> RowTable::snapshot() const
{
    std::vector<Row> rows;
    rows.reserve(m_rows.size());
    for (const auto &[key, row] : m_rows)
        rows.push_back(row);
    return rows;
}

} // namespace Peridot
