#include <Kernel/Membership/ConfigurationFollower.h>

#include <algorithm>
#include <utility>

namespace Peridot {

ConfigurationFollower::ConfigurationFollower(MembershipTiming timing, MembershipDefects defects)
    : m_timing(timing), m_defects(defects)
{
}

void ConfigurationFollower::observePeerVersion(std::uint64_t version)
{
    m_highestPeerVersion = std::max(m_highestPeerVersion, version);
}

void ConfigurationFollower::manifestReceived(std::uint64_t version, const std::string &manifest)
{
    m_highestPeerVersion = std::max(m_highestPeerVersion, version);
    adopt(version, manifest);
}

std::uint64_t ConfigurationFollower::highestKnown() const
{
    return std::max(m_head.version, m_highestPeerVersion);
}

std::optional<std::uint64_t> ConfigurationFollower::takeAdopted()
{
    return std::exchange(m_adopted, std::nullopt);
}

std::optional<Row> ConfigurationFollower::takeViewRow()
{
    return std::exchange(m_viewRow, std::nullopt);
}

std::optional<StoreRequest> ConfigurationFollower::nextRequest(TimePoint now)
{
    const bool behind = highestKnown() > m_versionInForce;
    if (now < m_nextRequestAt || (now < m_nextPoll && !m_pollRequested && !behind))
        return std::nullopt;
    m_pollRequested = false;
    m_readSentAt = now;
    ReadRows read{{configurationHeadKey, membershipViewKey}};
    if (behind)
        read.keys.push_back(configurationVersionKey(highestKnown()));
    return read;
}

void ConfigurationFollower::committed(TimePoint, const CommitResult &) { }

void ConfigurationFollower::rowsRead(TimePoint now, const ReadResult &result)
{
    // The poll period starts at the send time, so that a slow store does not lengthen it.
    m_nextPoll = m_readSentAt + m_timing.configurationPoll;
    if (result.status != ReadStatus::Ok || result.rows.size() < 2) {
        m_nextRequestAt = now + m_timing.storeRetry;
        m_nextPoll = m_nextRequestAt;
        return;
    }
    const std::uint64_t highestKnownBefore = highestKnown();
    const bool stale = result.rows[0].version < m_headRowVersion;
    m_headKnown = true;
    observeHead(result.rows[0]);
    m_viewRow = result.rows[1];
    if (result.rows.size() > 2 && result.rows[2].version != absentVersion) {
        const auto version
            = valueOrElse([&] { return parseConfigurationVersion(result.rows[2].value); },
                          [](const Error &) { return ConfigurationVersion{}; });
        const std::uint64_t versionNumber = std::strtoull(
            result.rows[2].key.substr(configurationVersionKey(0).size() - 1).c_str(), nullptr, 10);
        adopt(versionNumber, version.manifest);
    }
    if (!stale && highestKnown() <= m_versionInForce)
        m_confirmedCurrentAt = m_readSentAt;
    // The read did not return the version that a peer reported, so it was stale.
    if (highestKnown() > m_versionInForce && highestKnown() == highestKnownBefore)
        m_nextRequestAt = now + m_timing.staleRetry;
}

void ConfigurationFollower::observeHead(const Row &row)
{
    if (row.version <= m_headRowVersion && !m_defects.adoptLowerVersions)
        return;
    if (row.version == absentVersion)
        return;
    m_head = valueOrElse([&] { return parseConfigurationHead(row.value); },
                         [&](const Error &) { return m_head; });
    m_headRowVersion = row.version;
}

void ConfigurationFollower::adopt(std::uint64_t version, const std::string &manifest)
{
    if (version <= m_versionInForce && !m_defects.adoptLowerVersions)
        return;
    if (version == m_versionInForce)
        return;
    m_versionInForce = version;
    m_manifest = manifest;
    m_adopted = version;
}

} // namespace Peridot
