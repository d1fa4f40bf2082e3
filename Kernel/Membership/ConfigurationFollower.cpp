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
    const bool behind = highestKnown() > m_inForce;
    if (now < m_nextRequestAt || (now < m_nextPoll && !m_pollSoon && !behind))
        return std::nullopt;
    m_pollSoon = false;
    m_readSentAt = now;
    ReadRows read{{configurationHeadKey, membershipViewKey}};
    if (behind)
        read.keys.push_back(configurationVersionKey(highestKnown()));
    return read;
}

void ConfigurationFollower::committed(TimePoint, const CommitResult &) { }

void ConfigurationFollower::rowsRead(TimePoint now, const ReadResult &result)
{
    // Counted from the send time, so that a slow store does not lengthen the period.
    m_nextPoll = m_readSentAt + m_timing.configurationPoll;
    if (result.status != ReadStatus::Ok || result.rows.size() < 2) {
        m_nextRequestAt = now + m_timing.storeRetry;
        m_nextPoll = m_nextRequestAt;
        return;
    }
    const std::uint64_t knownBefore = highestKnown();
    const bool stale = result.rows[0].version < m_headRowVersion;
    m_headKnown = true;
    observeHead(result.rows[0]);
    m_viewRow = result.rows[1];
    if (result.rows.size() > 2 && result.rows[2].version != absentVersion) {
        const auto version
            = valueOrElse([&] { return parseConfigurationVersion(result.rows[2].value); },
                          [](const Error &) { return ConfigurationVersion{}; });
        const std::uint64_t number = std::strtoull(
            result.rows[2].key.substr(configurationVersionKey(0).size() - 1).c_str(), nullptr, 10);
        adopt(number, version.manifest);
    }
    if (!stale && highestKnown() <= m_inForce)
        m_currentAt = m_readSentAt;
    // The store has not shown the version that a peer stated: the read was stale.
    if (highestKnown() > m_inForce && highestKnown() == knownBefore)
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
    if (version <= m_inForce && !m_defects.adoptLowerVersions)
        return;
    if (version == m_inForce)
        return;
    m_inForce = version;
    m_manifest = manifest;
    m_adopted = version;
}

} // namespace Peridot
