#include <VirtualMembers/VirtualMembers.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

VirtualMembersSettings fiveMembers()
{
    VirtualMembersSettings settings;
    settings.seed = 7;
    settings.entryMembers = 3;
    settings.fleetMembers = 2;
    settings.tick = 50ms;
    return settings;
}

ServingState stateOf(VirtualMembers &members, std::size_t index)
{
    auto &member = members.members()[index];
    return member.node->servingState(members.clockOf(member));
}

void applyFirstVersion(VirtualMembers &members)
{
    REQUIRE(
        members.runUntil([&] { return members.holderOf(configurationLeaseName) != nullptr; }, 30s));
    members.run(15s);
    members.holderOf(configurationLeaseName)->node->propose({1, "operator", "{}", 0});
    members.run(5s);
    for (std::size_t index = 0; index < 5; ++index)
        REQUIRE(stateOf(members, index) == ServingState::Full);
}

} // namespace

TEST_CASE("A process serves only with a lease or while a majority is in contact")
{
    VirtualMembers members(fiveMembers());
    applyFirstVersion(members);

    SECTION("a process without store and peers stops serving when its evidence ends")
    {
        members.members()[0].peersCut = members.members()[0].storeCut = true;
        members.run(450ms);
        REQUIRE(stateOf(members, 0) == ServingState::Full);
        members.run(1100ms);
        REQUIRE(stateOf(members, 0) == ServingState::Isolated);

        SECTION("it serves again after the connections are restored")
        {
            members.members()[0].peersCut = members.members()[0].storeCut = false;
            members.run(15s);
            REQUIRE(stateOf(members, 0) == ServingState::Full);
        }
    }
    SECTION("a process without the store serves idempotent requests while a majority is in contact")
    {
        members.members()[0].storeCut = true;
        members.run(12s);
        REQUIRE(stateOf(members, 0) == ServingState::IdempotentOnly);
        // It learns a new version from its peers, without the store.
        members.holderOf(configurationLeaseName)->node->propose({2, "operator", "{}", 1});
        members.run(2s);
        REQUIRE(members.members()[0].node->configuration().versionInForce() == 2);
        REQUIRE(stateOf(members, 0) == ServingState::IdempotentOnly);

        SECTION("it stops serving when it also loses its peers")
        {
            members.members()[0].peersCut = true;
            members.run(2s);
            REQUIRE(stateOf(members, 0) == ServingState::Isolated);
        }
    }
    SECTION("every process serves idempotent requests during a store outage")
    {
        members.store().setDown(members.now(), members.now() + 600s);
        members.run(300s);
        for (std::size_t index = 0; index < 5; ++index)
            REQUIRE(stateOf(members, index) == ServingState::IdempotentOnly);

        SECTION(
            "a process that starts during the outage gets the version from its peers and serves")
        {
            members.crash(1);
            members.restart(1);
            REQUIRE(stateOf(members, 1) == ServingState::NoConfiguration);
            members.run(10s);
            REQUIRE(stateOf(members, 1) == ServingState::IdempotentOnly);
            REQUIRE(members.members()[1].node->configuration().versionInForce() == 1);
        }
        SECTION("every process serves every request again after the outage")
        {
            members.run(330s);
            for (std::size_t index = 0; index < 5; ++index)
                REQUIRE(stateOf(members, index) == ServingState::Full);
        }
    }
}

TEST_CASE("A slow or unavailable store stops no process while its peers are in contact")
{
    VirtualMembers members(fiveMembers());
    applyFirstVersion(members);
    std::string stopped;
    members.setObserver([&] {
        for (auto &member : members.members()) {
            if (!members.serves(member) && stopped.empty())
                stopped = member.instance;
        }
    });
    SECTION("store calls of 300 to 500 ms")
    {
        members.setStoreDelay(300ms, 60ms);
        members.run(60s);
    }
    SECTION("an outage that begins at any point of the poll period")
    {
        members.run(Duration(1s) * GENERATE(range(0, 10)) / 10);
        members.store().setDown(members.now(), members.now() + 60s);
        members.run(90s);
    }
    INFO(stopped);
    REQUIRE(stopped.empty());
}

TEST_CASE("A process that reads the store in time serves every request without its peers")
{
    VirtualMembers members(fiveMembers());
    applyFirstVersion(members);
    members.members()[0].peersCut = true;
    // If the poll period were counted from the reply, reads of 450 ms would leave a time without
    // evidence.
    members.setStoreDelay(450ms, 0ms);
    members.run(5s);
    bool served = true;
    members.setObserver([&] { served = served && stateOf(members, 0) == ServingState::Full; });
    members.run(60s);
    REQUIRE(served);
}

TEST_CASE("Contact with peers is evidence for a limited time after they reported a higher version")
{
    // The process cannot adopt the higher version: its manifest is too large for a notice, and the
    // store does not answer.
    VirtualMembers members(fiveMembers());
    applyFirstVersion(members);
    members.members()[0].storeCut = true;
    members.holderOf(configurationLeaseName)
        ->node->propose({2, "operator", std::string(64U << 10U, ' '), 1});
    members.run(400ms);
    REQUIRE(members.members()[1].node->configuration().versionInForce() == 2);
    REQUIRE(stateOf(members, 0) == ServingState::Full);
    members.run(1600ms);
    REQUIRE(stateOf(members, 0) == ServingState::BehindVersion);
}

TEST_CASE("A reconnected process does not serve an older version")
{
    // Heartbeats of the peers report the higher version before the process receives its manifest.
    VirtualMembers members(fiveMembers());
    applyFirstVersion(members);
    auto &member = members.members()[0];
    member.peersCut = member.storeCut = true;
    members.run(2s);
    REQUIRE(stateOf(members, 0) == ServingState::Isolated);
    const bool large = GENERATE(false, true);
    members.holderOf(configurationLeaseName)
        ->node->propose({2, "operator", large ? std::string(64U << 10U, ' ') : "{}", 1});
    members.run(1s);
    bool servedOlder = false;
    members.setObserver([&] {
        servedOlder
            = servedOlder
              || (members.serves(member) && member.node->configuration().versionInForce() < 2);
    });
    member.peersCut = member.storeCut = false;
    members.setStoreDelay(400ms, 0ms);
    REQUIRE(members.runUntil([&] { return members.serves(member); }, 30s));
    members.run(15s);
    REQUIRE_FALSE(servedOlder);
    REQUIRE(stateOf(members, 0) == ServingState::Full);
}

TEST_CASE("Members of a small view need only the lease to serve")
{
    VirtualMembersSettings settings = fiveMembers();
    settings.entryMembers = 2;
    VirtualMembers members(settings);
    REQUIRE(
        members.runUntil([&] { return members.holderOf(configurationLeaseName) != nullptr; }, 30s));
    members.run(15s);
    members.holderOf(configurationLeaseName)->node->propose({1, "operator", "{}", 0});
    members.run(5s);
    members.members()[0].peersCut = members.members()[0].storeCut = true;
    members.run(4s);
    REQUIRE(stateOf(members, 0) == ServingState::Full);
    members.run(6s);
    REQUIRE(stateOf(members, 0) == ServingState::Isolated);
}

TEST_CASE("The view replaces crashed processes by their successors")
{
    VirtualMembers members(fiveMembers());
    applyFirstVersion(members);
    const std::string crashedInstance = members.members()[0].instance;

    SECTION("when one process crashes")
    {
        members.crash(0);
        members.restart(0);
        members.run(60s);
        const auto &view = members.members()[4].node->members().view();
        REQUIRE_FALSE(view.contains(crashedInstance));
        REQUIRE(view.contains(members.members()[0].instance));
        REQUIRE(view.settled());
    }
    SECTION("when all crash at once and no majority of the previous view is left")
    {
        for (std::size_t index = 0; index < 5; ++index)
            members.crash(index);
        members.run(1s);
        for (std::size_t index = 0; index < 5; ++index)
            members.restart(index);
        members.run(60s);
        for (std::size_t index = 0; index < 5; ++index)
            REQUIRE(stateOf(members, index) == ServingState::Full);
    }
}
