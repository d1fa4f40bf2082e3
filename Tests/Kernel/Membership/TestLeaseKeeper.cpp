#include <Kernel/Membership/LeaseDistribution.h>
#include <Kernel/Membership/LeaseKeeper.h>
#include <LibStore/MemoryStore.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr const char *leaseKey = "lease/a";

LeaseKeeper makeKeeper(const std::string &holder)
{
    LeaseKeeper keeper({leaseKey, "a", holder, false, {}, {}});
    keeper.setWanted(true);
    return keeper;
}

/// Performs the requests of \a keeper on the store until none is due.
void performRequests(MemoryStore &store, LeaseKeeper &keeper)
{
    while (const auto request = keeper.takeRequest(store.now())) {
        const auto reply = [&](const StoreReply &result) {
            keeper.finish(store.now(), result);
        };
        if (const auto *transaction = std::get_if<Transaction>(&*request))
            store.commit(*transaction, [&](const CommitResult &result) { reply(result); });
        else
            store.read(std::get<ReadRows>(*request).keys,
                       [&](const ReadResult &result) { reply(result); });
        store.run();
    }
}

LeaseRow storedLease(MemoryStore &store)
{
    return parseLeaseRow(store.row(leaseKey).value).value();
}

} // namespace

TEST_CASE("A lease has one holder and a growing fencing epoch")
{
    MemoryStore store;
    store.advanceTo(TimePoint(1000s));
    LeaseKeeper first = makeKeeper("first");
    LeaseKeeper second = makeKeeper("second");
    performRequests(store, first);
    performRequests(store, second);
    REQUIRE(first.held(store.now()));
    REQUIRE(first.held(store.now())->fencingEpoch == 1);
    REQUIRE_FALSE(second.held(store.now()));

    SECTION("a holder that was suspended past the end of the lease no longer holds it")
    {
        store.advanceTo(store.now() + 9s);
        REQUIRE_FALSE(first.held(store.now()));
    }
    SECTION("another process acquires the lease after the row was unchanged for the lease duration")
    {
        store.advanceTo(store.now() + 9900ms);
        performRequests(store, second);
        REQUIRE_FALSE(second.held(store.now()));
        store.advanceTo(store.now() + 200ms);
        performRequests(store, second);
        REQUIRE(second.held(store.now())->fencingEpoch == 2);

        SECTION("the version check then rejects the renewal of the previous holder")
        {
            performRequests(store, first);
            REQUIRE_FALSE(first.held(store.now()));
            REQUIRE(storedLease(store).holder == "second");
        }
    }
    SECTION("a renewal keeps the epoch and extends the end")
    {
        const auto end = first.held(store.now())->end;
        store.advanceTo(store.now() + 3s);
        performRequests(store, first);
        REQUIRE(first.held(store.now())->end == end + 3s);
        REQUIRE(first.held(store.now())->fencingEpoch == 1);
    }
    SECTION("a released lease is free immediately and its epoch is not used again")
    {
        first.release();
        REQUIRE_FALSE(first.held(store.now()));
        performRequests(store, first);
        REQUIRE(first.released());
        second.observe(store.now(), store.row(leaseKey));
        performRequests(store, second);
        REQUIRE(second.held(store.now())->fencingEpoch == 2);
    }
    SECTION("a renewal whose answer was lost extends the lease from its send time")
    {
        store.advanceTo(store.now() + 3s);
        const auto sent = store.now();
        store.scriptFault(StoreCallKind::Commit, {StoreFaultKind::LoseAnswerAfterEffect, 0s, 0});
        performRequests(store, first);
        REQUIRE(first.held(store.now())->end == sent + 9s);
        REQUIRE(first.held(store.now())->rowVersion == store.row(leaseKey).version);
    }
    SECTION("a stale read does not end a held lease")
    {
        store.advanceTo(store.now() + 3s);
        store.scriptFault(StoreCallKind::Commit, {StoreFaultKind::LoseAnswerAfterEffect, 0s, 0});
        store.scriptFault(StoreCallKind::Read, {StoreFaultKind::StaleRead, 0s, 1});
        performRequests(store, first);
        REQUIRE(first.held(store.now()));
    }
    SECTION("a guard with a failed check prevents renewal until it is replaced")
    {
        first.setGuard({{{"other", 7}}, true});
        store.advanceTo(store.now() + 3s);
        performRequests(store, first);
        REQUIRE(first.guardConflict());
        first.setGuard({{{"other", absentVersion}}, true});
        performRequests(store, first);
        REQUIRE(first.confirmedGuard().inView);
    }
}

TEST_CASE("Only the leases of a removed member get another preferred holder")
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> remaining{"a", "b", "c"};
    std::map<std::string, int> shares;
    for (int index = 0; index < 98; ++index) {
        const std::string name = "pool-" + std::to_string(index);
        const std::string before = preferredHolder(name, all);
        ++shares[before];
        if (before != "d")
            REQUIRE(preferredHolder(name, remaining) == before);
    }
    for (const auto &[holder, share] : shares)
        REQUIRE(share >= 10);
    REQUIRE(preferredHolder("pool-1", {}).empty());
}
