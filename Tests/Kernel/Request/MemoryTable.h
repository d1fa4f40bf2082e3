#pragma once

#include <LibStore/Transaction.h>
#include <map>
#include <string>

namespace Peridot {

/// In-memory table with the single-row commits and reads that the request kernel uses.
class MemoryTable
{
public:
    CommitResult commit(const RowCheck &check, const RowWrite &write)
    {
        CommitResult result;
        if (read(check.key).version != check.expected) {
            result.status = CommitStatus::Conflict;
            result.conflicts = {check.key};
            return result;
        }
        result.status = CommitStatus::Committed;
        result.revision = ++m_revision;
        m_rows[write.key] = {write.key, m_revision, *write.value};
        return result;
    }

    Row read(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? Row{key, absentVersion, {}} : found->second;
    }

private:
    std::map<std::string, Row> m_rows;
    Version m_revision = 0;
};

} // namespace Peridot
