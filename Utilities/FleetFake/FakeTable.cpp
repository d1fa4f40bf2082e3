#include <FleetFake/FakeTable.h>

namespace Peridot {

CommitResult FakeTable::commit(const Transaction &transaction)
{
    CommitResult result;
    for (const auto &check : transaction.checks) {
        if (read(check.key).version != check.expected)
            result.conflicts.push_back(check.key);
    }
    if (!result.conflicts.empty()) {
        ++m_conflicts;
        result.status = CommitStatus::Conflict;
        return result;
    }
    ++m_commits;
    result.status = CommitStatus::Committed;
    result.revision = ++m_revision;
    for (const auto &write : transaction.writes) {
        if (write.value)
            m_rows[write.key] = {write.key, m_revision, *write.value};
        else
            m_rows.erase(write.key);
    }
    return result;
}

Row FakeTable::read(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? Row{key, absentVersion, {}} : found->second;
}

std::vector<Row> FakeTable::scan(const std::string &prefix) const
{
    std::vector<Row> rows;
    for (auto row = m_rows.lower_bound(prefix);
         row != m_rows.end() && row->first.starts_with(prefix); ++row)
        rows.push_back(row->second);
    return rows;
}

Version FakeTable::put(const std::string &key, const std::string &value)
{
    return commit({{}, {}, {{key, value}}}).revision;
}

} // namespace Peridot
