#pragma once

#include "MembershipInvariants.h"
#include <functional>
#include <set>

/// Simulation of the membership protocols with fault injection: processes start, concurrent
/// operators apply a configuration version and then a second one, and the holder of a shared lease
/// stops in an orderly way. Faults are injected at chosen store calls.
class MembershipScenario
{
public:
    using Members = Peridot::VirtualMembers;
    /// Called before each store call with the index of the call.
    using Fault = std::function<Peridot::StoreFault(Members &, std::uint64_t)>;

    explicit MembershipScenario(Peridot::VirtualMembersSettings settings)
        : m_members(withScenarioSettings(settings)),
          m_invariants(m_members, disconnectedLimit(withScenarioSettings(settings)))
    {
        for (std::size_t index = 0; index < 2; ++index)
            m_members.members()[m_members.fleetIndex(index)].node->setSharedLeases({"pool-a"});
    }

    void injectInto(const Fault &fault)
    {
        m_members.store().setFaultHook([this, fault](Peridot::StoreCallKind, std::uint64_t index) {
            m_calls = index + 1;
            return fault(m_members, index);
        });
    }

    /// Returns the first violated invariant, or else the first stage that did not finish in time;
    /// empty when the run succeeded.
    std::string run()
    {
        using namespace std::chrono_literals;
        if (!apply(1, 60s) || !apply(2, 90s))
            return violationOr("a version was not accepted in time");
        if (!m_members.runUntil([&] { return m_members.holderOf("pool-a") != nullptr; }, 60s))
            return violationOr("no process holds the lease pool-a");
        m_members.holderOf("pool-a")->node->stop();
        m_members.run(15s);
        m_members.run(15s);
        return m_invariants.violation();
    }

    Members &members() { return m_members; }
    std::uint64_t calls() const { return m_calls; }
    const std::string &violation() const { return m_invariants.violation(); }

private:
    static Peridot::VirtualMembersSettings
    withScenarioSettings(Peridot::VirtualMembersSettings settings)
    {
        settings.entryMembers = 3;
        settings.fleetMembers = 2;
        settings.tick = std::chrono::milliseconds(100);
        // Heartbeats are rarer than in production to shorten the runs of the fault matrix.
        settings.timing.heartbeat = std::chrono::seconds(1);
        settings.timing.noticeRepeat = std::chrono::seconds(1);
        settings.timing.contactWindow = std::chrono::milliseconds(2500);
        settings.timing.acceptanceDelay = std::chrono::milliseconds(2750);
        return settings;
    }

    /// The longer validity of the two kinds of evidence, plus 2% for different clock rates.
    static Peridot::Duration disconnectedLimit(const Peridot::VirtualMembersSettings &settings)
    {
        return std::max(settings.timing.evidenceWindow, settings.timing.contactWindow) * 102 / 100;
    }

    /// The first violated invariant, or \a text when there is none.
    std::string violationOr(const std::string &text) const
    {
        return m_invariants.violation().empty() ? text : m_invariants.violation();
    }

    /// Lets both fleet processes propose the version until it is accepted. Only the holder of the
    /// lease `configuration` can succeed; repeated proposals end in a conflict.
    bool apply(std::uint64_t version, Peridot::Duration limit)
    {
        const auto end = m_members.now() + limit;
        while (m_members.now() < end) {
            for (std::size_t index = 0; index < 2; ++index) {
                auto &member = m_members.members()[m_members.fleetIndex(index)];
                if (member.crashed)
                    continue;
                for (std::uint64_t author = 0; author < 2; ++author)
                    member.node->propose(
                        {author, "operator-" + std::to_string(author), "", version - 1});
            }
            if (m_members.runUntil([&] { return accepted(version); }, std::chrono::seconds(3)))
                return true;
        }
        return false;
    }

    bool accepted(std::uint64_t version)
    {
        const auto row = m_members.store().row(Peridot::configurationHeadKey);
        if (row.version == Peridot::absentVersion)
            return false;
        const auto head = Peridot::parseConfigurationHead(row.value).value();
        return head.version >= version && head.state == Peridot::ConfigurationState::Accepted;
    }

    Members m_members;
    MembershipInvariants m_invariants;
    std::uint64_t m_calls = 0;
};
