#pragma once

#include <VirtualMembers/VirtualMembers.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <string>

/// Checks the invariants of section 7 from outside, after every step of a run. It reads the rows of
/// the table and asks each process only what it would act on.
class MembershipInvariants
{
public:
    /// A process that is cut off from the store and from its peers for longer than \a cutLimit
    /// must not serve.
    MembershipInvariants(Peridot::VirtualMembers &members, Peridot::Duration cutLimit)
        : m_members(members), m_cutLimit(cutLimit)
    {
        m_members.setObserver([this] { check(); });
    }

    /// First violation, with the step at which it was seen; empty when there was none.
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
            checkCut(member);
        }
    }

    void checkLeases(Peridot::VirtualMembers::Member &member,
                     std::map<std::string, std::string> &holders)
    {
        for (const auto &[name, lease] : member.node->heldLeases(m_members.clockOf(member))) {
            const auto holder = holders.emplace(name, member.instance).first->second;
            if (holder != member.instance)
                fail(fmt::format("two holders of {}: {} and {}", name, holder, member.instance));
            const auto key = std::make_pair(name, lease.fencingEpoch);
            const auto first = m_epochs.emplace(key, member.instance).first->second;
            if (first != member.instance)
                fail(fmt::format("epoch {} of {} used by {} and {}", lease.fencingEpoch, name,
                                 first, member.instance));
        }
    }

    void checkVersion(Peridot::VirtualMembers::Member &member)
    {
        const std::uint64_t version = member.node->configuration().versionInForce();
        auto &highest = m_versions[member.instance];
        if (version < highest)
            fail("version in force went down at " + member.instance);
        highest = std::max(highest, version);
        if (m_members.serves(member) && version < acceptedVersion())
            fail(member.instance + " serves version " + std::to_string(version) + " after "
                 + std::to_string(acceptedVersion()) + " was accepted");
    }

    void checkCut(Peridot::VirtualMembers::Member &member)
    {
        const bool smallView = member.node->members().view().instances.size() < 5;
        if (!member.storeCut || !member.peersCut || smallView) {
            m_cutSince.erase(member.instance);
            return;
        }
        const auto since = m_cutSince.emplace(member.instance, m_members.now()).first->second;
        if (m_members.serves(member) && m_members.now() > since + m_cutLimit)
            fail(member.instance + " is cut off and still serves");
    }

    std::uint64_t acceptedVersion()
    {
        const Peridot::Row row = m_members.store().row(Peridot::configurationHeadKey);
        if (row.version == m_headRowVersion)
            return m_accepted;
        m_headRowVersion = row.version;
        const auto head = Peridot::parseConfigurationHead(row.value).value();
        if (head.version < m_headVersion)
            fail("the head went back to version " + std::to_string(head.version));
        m_headVersion = head.version;
        if (head.state == Peridot::ConfigurationState::Accepted)
            m_accepted = head.version;
        return m_accepted;
    }

    void fail(const std::string &text)
    {
        if (m_violation.empty())
            m_violation = "step " + std::to_string(m_steps) + ": " + text;
    }

    Peridot::VirtualMembers &m_members;
    std::string m_violation;
    Peridot::Duration m_cutLimit;
    std::map<std::string, Peridot::TimePoint> m_cutSince;
    std::uint64_t m_steps = 0;
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_epochs;
    std::map<std::string, std::uint64_t> m_versions;
    std::uint64_t m_headVersion = 0;
    std::uint64_t m_accepted = 0;
    Peridot::Version m_headRowVersion = 0;
};
