#pragma once

#include <Kernel/Membership/ConfigurationHead.h>
#include <Kernel/Membership/MembershipTiming.h>
#include <Kernel/Membership/MembershipView.h>
#include <Kernel/Membership/StoreProtocol.h>
#include <optional>
#include <string>

namespace Peridot {

/// Brings this process to the newest configuration. It learns of a version by a notice of the
/// proposer, by heartbeats and by polling, and adopts only higher versions, so that stale reads
/// and late or repeated messages change nothing.
class ConfigurationFollower : public StoreProtocol
{
public:
    explicit ConfigurationFollower(MembershipTiming timing, MembershipDefects defects = {});

    /// A peer stated that \a version exists; it is read from the store at once.
    void versionHeard(std::uint64_t version);
    /// A peer sent the manifest itself.
    void manifestReceived(std::uint64_t version, const std::string &manifest);
    /// Feeds a head row that another part of the process read or wrote.
    void observeHead(const Row &row);
    /// Reads the head at the next opportunity.
    void pollSoon() { m_pollSoon = true; }

    std::uint64_t versionInForce() const { return m_inForce; }
    const std::string &manifest() const { return m_manifest; }
    /// Newest head row seen and its row version.
    const ConfigurationHead &head() const { return m_head; }
    Version headRowVersion() const { return m_headRowVersion; }
    /// Whether the head, or its absence, was read at least once.
    bool headKnown() const { return m_headKnown; }
    /// Highest version known to exist, from the head or from peers.
    std::uint64_t highestKnown() const;

    /// When the newest read was sent that showed no higher version than the one in force.
    std::optional<TimePoint> currentAt() const { return m_currentAt; }

    /// Version adopted since the last call, or nothing.
    std::optional<std::uint64_t> takeAdopted();
    /// Row of the view read since the last call, or nothing.
    std::optional<Row> takeViewRow();

protected:
    std::optional<StoreRequest> nextRequest(TimePoint now) override;
    void committed(TimePoint now, const CommitResult &result) override;
    void rowsRead(TimePoint now, const ReadResult &result) override;

private:
    void adopt(std::uint64_t version, const std::string &manifest);

    MembershipTiming m_timing;
    MembershipDefects m_defects;
    std::uint64_t m_inForce = 0;
    std::string m_manifest;
    ConfigurationHead m_head;
    Version m_headRowVersion = absentVersion;
    bool m_headKnown = false;
    std::uint64_t m_heard = 0;
    std::optional<std::uint64_t> m_adopted;
    std::optional<Row> m_viewRow;
    std::optional<TimePoint> m_currentAt;
    TimePoint m_readSentAt;
    TimePoint m_nextPoll;
    TimePoint m_notBefore;
    bool m_pollSoon = true;
};

} // namespace Peridot
