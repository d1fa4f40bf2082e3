#include <VirtualMembers/VirtualMembers.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

VirtualMembersSettings smallGroup()
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

TEST_CASE("A process serves by its lease or by a majority, and otherwise not at all")
{
    VirtualMembers members(smallGroup());
    applyFirstVersion(members);

    SECTION("a process cut off from everything stops when its lease ends, and not much later")
    {
        members.members()[0].peersCut = members.members()[0].storeCut = true;
        members.run(5s);
        REQUIRE(stateOf(members, 0) == ServingState::Full);
        members.run(5s);
        REQUIRE(stateOf(members, 0) == ServingState::Isolated);

        SECTION("and serves again when it is back")
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

        SECTION("and stops without it")
        {
            members.members()[0].peersCut = true;
            members.run(2s);
            REQUIRE(stateOf(members, 0) == ServingState::Isolated);
        }
    }
    SECTION("an outage of the store for all ends nobody's idempotent service")
    {
        members.store().setDown(members.now(), members.now() + 600s);
        members.run(300s);
        for (std::size_t index = 0; index < 5; ++index)
            REQUIRE(stateOf(members, index) == ServingState::IdempotentOnly);

        SECTION("and a process that starts meanwhile joins once a majority told it the version")
        {
            members.crash(1);
            members.restart(1);
            REQUIRE(stateOf(members, 1) == ServingState::NoConfiguration);
            members.run(10s);
            REQUIRE(stateOf(members, 1) == ServingState::IdempotentOnly);
            REQUIRE(members.members()[1].node->configuration().versionInForce() == 1);
        }
        SECTION("and every process has its lease again after the outage")
        {
            members.run(330s);
            for (std::size_t index = 0; index < 5; ++index)
                REQUIRE(stateOf(members, index) == ServingState::Full);
        }
    }
}

TEST_CASE("The view replaces a crashed process by the one that follows it")
{
    VirtualMembers members(smallGroup());
    applyFirstVersion(members);
    const std::string former = members.members()[0].instance;

    SECTION("one at a time")
    {
        members.crash(0);
        members.restart(0);
        members.run(60s);
        const auto &view = members.members()[4].node->members().view();
        REQUIRE_FALSE(view.contains(former));
        REQUIRE(view.contains(members.members()[0].instance));
        REQUIRE(view.settled());
    }
    SECTION("and all at once, which leaves no majority of the old view alive")
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
