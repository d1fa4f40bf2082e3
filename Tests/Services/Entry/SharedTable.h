#pragma once

#include <ClaimStore.h>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace Peridot {

/// Table of claim rows shared by the entry processes of one test, with an outage that can be
/// switched on. Answers arrive later, on the thread of the dispatcher that asked.
class SharedTable
{
public:
    Row read(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? Row{key, absentVersion, {}} : found->second;
    }

    CommitResult commit(const CommitClaim &claim)
    {
        const std::lock_guard lock(m_mutex);
        Row &row = m_rows[claim.check.key];
        CommitResult result;
        if (row.version != claim.check.expected) {
            result.status = CommitStatus::Conflict;
            result.conflicts = {claim.check.key};
            return result;
        }
        row.key = claim.check.key;
        row.version = ++m_revision;
        row.value = claim.write.value.value_or("");
        result.status = CommitStatus::Committed;
        result.revision = row.version;
        return result;
    }

    std::atomic<bool> down{false};

private:
    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    Version m_revision = 0;
};

class SharedTableClaims : public ClaimStore
{
public:
    SharedTableClaims(std::shared_ptr<SharedTable> table, DispatcherExecutor executor)
        : m_table(std::move(table)), m_executor(std::move(executor))
    {
    }

    void read(TimePoint, const std::string &key, ReadCallback callback) override
    {
        const auto status = m_table->down ? ReadStatus::Unavailable : ReadStatus::Ok;
        m_executor([row = m_table->read(key), status, callback = std::move(callback)] {
            callback(status, row);
        });
    }

    void commit(TimePoint, const CommitClaim &claim, CommitCallback callback) override
    {
        const CommitResult result = m_table->down ? CommitResult{} : m_table->commit(claim);
        m_executor([result, callback = std::move(callback)] { callback(result); });
    }

    void tick(TimePoint) override { }
    std::optional<TimePoint> nextTick(TimePoint) override { return std::nullopt; }
    void setProcesses(TimePoint, std::size_t) override { }

private:
    std::shared_ptr<SharedTable> m_table;
    DispatcherExecutor m_executor;
};

} // namespace Peridot
