#pragma once

#include <Kernel/Membership/MembershipNode.h>

namespace Peridot {

/// Reads all lease rows by one scan instead of one read for each lease.
class MembershipNode::LeaseScan : public StoreProtocol
{
public:
    explicit LeaseScan(MembershipNode &node) : m_node(node) { }

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override
    {
        if (now < m_nextScan)
            return std::nullopt;
        return ScanRows{"lease/", m_startAfter, 1000};
    }

    void committed(TimePoint, const CommitResult &) override { }

    void rowsRead(TimePoint now, const ReadResult &result) override
    {
        if (result.status != ReadStatus::Ok) {
            m_startAfter.clear();
            m_nextScan = now + m_node.m_settings.timing.storeRetry;
            return;
        }
        for (const auto &row : result.rows)
            m_node.observeLeaseRow(now, row);
        m_startAfter = result.more && !result.rows.empty() ? result.rows.back().key : std::string();
        if (m_startAfter.empty())
            m_nextScan = now + m_node.m_settings.timing.leaseScan;
    }

private:
    MembershipNode &m_node;
    std::string m_startAfter;
    TimePoint m_nextScan;
};

} // namespace Peridot
