#pragma once

#include <VirtualMembers/VirtualMembers.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <string>

/// Checks the invariants of the membership protocols after every tick and event of a simulation:
/// one holder per lease and fencing epoch, no return to a lower configuration version, no serving
/// of an older version than the accepted one, and no serving without connections. It reads the rows
/// of the store and the state on which each process bases its decisions.
class MembershipInvariants
{
public:
    /// A process that was disconnected from the store and from its peers for longer than
    /// \a disconnectedLimit must not serve.
    MembershipInvariants(Peridot::VirtualMembers &members, Peridot::Duration disconnectedLimit)
        : m_members(members), m_disconnectedLimit(disconnectedLimit)
    {
        m_members.setObserver([this] { check(); });
    }

    /// First violation, with the step at which it was detected; empty when there was none.
    const std::string &violation() const { return m_violation; }
    std::uint64_t steps() const { return m_steps; }

private:
    void check()
    {
        ++m_steps;
        if (!m_violation.empty())
            return;
        std::map<std::string, std::string> holders;
        for (auto &member : m_members.members()) {
            if (member.crashed || member.frozen)
                continue;
            checkLeases(member, holders);
            checkVersion(member);
            checkDisconnected(member);
        }
    }

    void checkLeases(Peridot::VirtualMembers::Member &member,
                     std::map<std::string, std::string> &holders)
    {
        for (const auto &[name, lease] : member.node->heldLeases(m_members.clockOf(member))) {
            const auto holder = holders.emplace(name, member.instance).first->second;
            if (holder != member.instance)
                recordViolation(
                    fmt::format("two holders of {}: {} and {}", name, holder, member.instance));
            const auto key = std::make_pair(name, lease.fencingEpoch);
            const auto first = m_epochHolders.emplace(key, member.instance).first->second;
            if (first != member.instance)
                recordViolation(fmt::format("epoch {} of {} used by {} and {}", lease.fencingEpoch,
                                            name, first, member.instance));
        }
    }

    void checkVersion(Peridot::VirtualMembers::Member &member)
    {
        const std::uint64_t version = member.node->configuration().versionInForce();
        auto &highest = m_highestVersions[member.instance];
        if (version < highest)
            recordViolation("version in force went down at " + member.instance);
        highest = std::max(highest, version);
        if (m_members.serves(member) && version < acceptedVersion())
            recordViolation(member.instance + " serves version " + std::to_string(version)
                            + " after " + std::to_string(acceptedVersion()) + " was accepted");
    }

    void checkDisconnected(Peridot::VirtualMembers::Member &member)
    {
        const bool smallView = member.node->members().view().instances.size() < 5;
        if (!member.storeCut || !member.peersCut || smallView) {
            m_disconnectedSince.erase(member.instance);
            return;
        }
        const auto since
            = m_disconnectedSince.emplace(member.instance, m_members.now()).first->second;
        if (m_members.serves(member) && m_members.now() > since + m_disconnectedLimit)
            recordViolation(member.instance + " is cut off and still serves");
    }

    std::uint64_t acceptedVersion()
    {
        const Peridot::Row row = m_members.store().row(Peridot::configurationHeadKey);
        if (row.version == m_headRowVersion)
            return m_acceptedVersion;
        m_headRowVersion = row.version;
        const auto head = Peridot::parseConfigurationHead(row.value).value();
        if (head.version < m_headVersion)
            recordViolation("the head version decreased to " + std::to_string(head.version));
        m_headVersion = head.version;
        if (head.state == Peridot::ConfigurationState::Accepted)
            m_acceptedVersion = head.version;
        return m_acceptedVersion;
    }

    void recordViolation(const std::string &text)
    {
        if (m_violation.empty())
            m_violation = "step " + std::to_string(m_steps) + ": " + text;
    }

    Peridot::VirtualMembers &m_members;
    std::string m_violation;
    Peridot::Duration m_disconnectedLimit;
    std::map<std::string, Peridot::TimePoint> m_disconnectedSince;
    std::uint64_t m_steps = 0;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_epochHolders;
    std::map<std::string, std::uint64_t> m_highestVersions;
    std::uint64_t m_headVersion = 0;
    std::uint64_t m_acceptedVersion = 0;
    Peridot::Version m_headRowVersion = 0;
};
