#pragma once

#include <Kernel/Membership/ConfigurationHead.h>
#include <Kernel/Membership/MembershipTiming.h>
#include <Kernel/Membership/MembershipView.h>
#include <Kernel/Membership/StoreProtocol.h>
#include <optional>
#include <string>

namespace Peridot {

/// Keeps the configuration of this process up to date. It learns of new versions from notices of
/// the proposer, from heartbeats and by polling. It adopts only higher versions, so that stale
/// reads and delayed or repeated messages have no effect.
class ConfigurationFollower : public StoreProtocol
{
public:
    explicit ConfigurationFollower(MembershipTiming timing, MembershipDefects defects = {});

    /// A peer reported that \a version exists. It is read from the store at the next opportunity.
    void observePeerVersion(std::uint64_t version);
    /// A peer sent the manifest itself.
    void manifestReceived(std::uint64_t version, const std::string &manifest);
    /// Adopts a head row that another component of the process read or wrote, unless a newer one is
    /// known.
    void observeHead(const Row &row);
    /// Reads the head at the next opportunity instead of at the poll period.
    void requestPoll() { m_pollRequested = true; }

    std::uint64_t versionInForce() const { return m_versionInForce; }
    const std::string &manifest() const { return m_manifest; }
    /// Latest known head and the version of its row.
    const ConfigurationHead &head() const { return m_head; }
    Version headRowVersion() const { return m_headRowVersion; }
    /// Whether the head row was read at least once, even if it was absent.
    bool headKnown() const { return m_headKnown; }
    /// Highest version known to exist, from the head or from peers.
    std::uint64_t highestKnown() const;

    /// Send time of the latest read that confirmed that no version higher than the one in force
    /// exists.
    std::optional<TimePoint> confirmedCurrentAt() const { return m_confirmedCurrentAt; }

    /// Version adopted since the last call, or nothing.
    std::optional<std::uint64_t> takeAdopted();
    /// Row of the membership view read since the last call, or nothing.
    std::optional<Row> takeViewRow();

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    void adopt(std::uint64_t version, const std::string &manifest);

    MembershipTiming m_timing;
    MembershipDefects m_defects;
    std::uint64_t m_versionInForce = 0;
    std::string m_manifest;
    ConfigurationHead m_head;
    Version m_headRowVersion = absentVersion;
    bool m_headKnown = false;
    std::uint64_t m_highestPeerVersion = 0;
    std::optional<std::uint64_t> m_adopted; ///< until takeAdopted() returns it
    std::optional<Row> m_viewRow; ///< until takeViewRow() returns it
    std::optional<TimePoint> m_confirmedCurrentAt;
    TimePoint m_readSentAt;
    TimePoint m_nextPoll;
    TimePoint m_nextRequestAt;
    bool m_pollRequested = true;
};

} // namespace Peridot
