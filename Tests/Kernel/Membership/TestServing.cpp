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

    SECTION("a process cut off from everything stops when its evidence ends")
    {
        members.members()[0].peersCut = members.members()[0].storeCut = true;
        members.run(450ms);
        REQUIRE(stateOf(members, 0) == ServingState::Full);
        members.run(1100ms);
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

TEST_CASE("A slow or absent store stops nobody while the peers are healthy")
{
    VirtualMembers members(smallGroup());
    applyFirstVersion(members);
    std::string stopped;
    members.setObserver([&] {
        for (auto &member : members.members()) {
            if (!members.serves(member) && stopped.empty())
                stopped = member.instance;
        }
    });
    SECTION("reads of 300 to 500 ms")
    {
        members.setStoreDelay(300ms, 60ms);
        members.run(60s);
    }
    SECTION("an outage that begins at any part of the poll period")
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
    VirtualMembers members(smallGroup());
    applyFirstVersion(members);
    members.members()[0].peersCut = true;
    // Without the poll period counted from the send time, reads of 450 ms would leave a gap.
    members.setStoreDelay(450ms, 0ms);
    members.run(5s);
    bool served = true;
    members.setObserver([&] { served = served && stateOf(members, 0) == ServingState::Full; });
    members.run(60s);
    REQUIRE(served);
}

TEST_CASE("Contact with peers is no evidence for long after they stated a higher version")
{
    // The manifest is too large for a notice, and the store, which has it, does not answer.
    VirtualMembers members(smallGroup());
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

TEST_CASE("A process that was cut off does not serve the older version when it returns")
{
    // Its peers state the higher version before the version itself arrives.
    VirtualMembers members(smallGroup());
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

TEST_CASE("Members of a small view serve by the lease alone")
{
    VirtualMembersSettings settings = smallGroup();
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
