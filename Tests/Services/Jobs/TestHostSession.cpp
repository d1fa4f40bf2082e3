#include <Kernel/Jobs/JobRows.h>
#include <Kernel/Jobs/PeakHistory.h>
#include <LibStore/MemoryStore.h>
#include <Services/Jobs/HostSession.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr unsigned hostCount = 1200;

std::string hostId(unsigned number)
{
    return "host-" + std::to_string(10'000 + number);
}

/// The session of a scheduler that takes over 1,200 hosts, for each of which the store has the row
/// of an earlier order. A wave asks for the maintenance of all of them.
class TakeoverFixture
{
public:
    TakeoverFixture()
        : scheduler(2, 1, {}, {}, store.now()),
          session(context, ports, 2, {std::string(hostsEpochKey), 1}, {}, hooks())
    {
        configuration.pools = {{"pool", false}};
        ports.store = &store;
        ports.listHosts = [this](const PlatformPorts::HostListCallback &callback) {
            callback(HostList{hosts});
        };
        ports.orderHost
            = [this](const HostOrder &order, const PlatformPorts::HostOrderCallback &callback) {
                  ordered.insert(order.host);
                  callback(order, HostOrderOutcome::Accepted);
              };
        ports.waveStatus = [](std::uint64_t, bool) {
            return RowWrite{"status/wave", "{}"};
        };
        write({std::string(hostsEpochKey), "2"});
        MaintenanceWave wave{1, {}, 10s, hostCount, store.now()};
        for (unsigned number = 0; number < hostCount; ++number) {
            hosts.push_back({hostId(number), "pool", HostPhase::Up, {1000, 1000, 0}, {}});
            wave.hosts.push_back(hostId(number));
        }
        // A wave leaves each pool a host.
        hosts.push_back({"other-host", "pool", HostPhase::Up, {1000, 1000, 0}, {}});
        waves.emplace(1, wave);
    }

    void write(const RowWrite &write)
    {
        Transaction transaction;
        transaction.operationId = "test/" + write.key;
        transaction.writes = {write};
        store.commit(transaction, [](const CommitResult &) {});
        store.run();
    }

    void runFor(Duration time)
    {
        for (const TimePoint end = store.now() + time; store.now() < end;) {
            store.advanceTo(store.now() + 50ms);
            context.restart();
            context.poll();
            session.plan(scheduler, configuration);
        }
    }

    asio::io_context context;
    MemoryStore store;
    PlatformPorts ports;
    JobConfiguration configuration;
    MaintenanceWaves waves;
    std::vector<HostDescription> hosts;
    std::set<std::string> ordered;
    JobScheduler scheduler;
    HostSession session;

private:
    HostSession::Hooks hooks()
    {
        HostSession::Hooks hooks;
        hooks.clock = [this] {
            return store.now();
        };
        hooks.leaseHeld = [] {
            return true;
        };
        hooks.waves = [this]() -> const MaintenanceWaves & {
            return waves;
        };
        hooks.storeTime = [] {
            return 1;
        };
        hooks.observe = [](std::string_view) {
        };
        hooks.refreshWorkers = [] {
        };
        return hooks;
    }
};

} // namespace

TEST_CASE("A new holder waits for the earlier orders of all hosts")
{
    // Guards against a takeover that read one page of the rows of orders: the hosts beyond it got
    // an order within the pause that two holders must keep.
    TakeoverFixture fixture;
    const std::int64_t longAgo
        = -1'000'000; // milliseconds on the clock of the store, which begins at 0
    for (unsigned number = 0; number < hostCount; ++number)
        fixture.write({"host-order/" + hostId(number), std::to_string(longAgo)});
    const std::vector<std::string> recent = {hostId(3), hostId(700), hostId(hostCount - 1)};
    for (const std::string &host : recent)
        fixture.write({"host-order/" + host, "0"});
    fixture.session.start();
    // The earlier holder may have sent them some time after the one in the row.
    fixture.runFor(3500ms);
    REQUIRE(fixture.ordered.size() == hostCount - recent.size());
    for (const std::string &host : recent)
        CHECK_FALSE(fixture.ordered.contains(host));

    SECTION("and orders them after the pause")
    {
        fixture.runFor(1s);
        REQUIRE(fixture.ordered.size() == hostCount);
        // The row tells the next holder that the host may be in maintenance.
        CHECK(fixture.store.row("host-order/" + recent.front()).value == "1 maintain");
    }
}

TEST_CASE("An order is not sent long after the time that is stored for it")
{
    // Guards against a successor that waits from the stored time on, while the order of its
    // predecessor, whose transaction took long, arrives later.
    TakeoverFixture fixture;
    fixture.session.start();
    fixture.store.setLatency(300ms, 300ms);
    fixture.runFor(5s);
    REQUIRE(fixture.ordered.empty());
    fixture.store.setLatency(2ms, 2ms);
    fixture.runFor(5s);
    REQUIRE(fixture.ordered.size() == hostCount);
}

TEST_CASE("What is known about the peaks of the pools is in the store for a successor")
{
    // Guards against a takeover after which the peaks have to be learned again, which takes longer
    // than many loads last.
    PeakHistory history;
    history.pools["pool"] = {4, 100, TimePoint{} + 500ms, false, "pool", 17s, false};
    history.latest = "pool";
    const auto toStore = [](TimePoint time) {
        return toUnixMilliseconds(time);
    };
    const std::string value = encodePeakHistory(history, toStore);
    TakeoverFixture fixture;
    const std::string key(peakHistoryKey);
    SECTION("a peak that does not come changes the row once, under the check of the epoch")
    {
        fixture.write({key, value});
        const Version before = fixture.store.row(key).version;
        fixture.session.start();
        fixture.runFor(15s);
        CHECK(fixture.store.row(key).version == before);
        fixture.runFor(10s);
        const Row row = fixture.store.row(key);
        CHECK(row.version > before);
        const auto stored
            = valueOrElse([&] { return parsePeakHistory(row.value, fromUnixMilliseconds); },
                          [](const Error &) { return PeakHistory{}; });
        CHECK(stored.pools.at("pool").isDoubted);
        CHECK(stored.pools.at("pool").lag == Duration(17s));
        fixture.runFor(5s);
        CHECK(fixture.store.row(key).version == row.version);
    }
    SECTION("a fenced session does not write it")
    {
        fixture.write({key, value});
        fixture.session.start();
        fixture.runFor(1s);
        const Version before = fixture.store.row(key).version;
        fixture.write({std::string(hostsEpochKey), "3"});
        fixture.runFor(25s);
        CHECK(fixture.store.row(key).version == before);
    }
    SECTION("a malformed row is ignored")
    {
        fixture.write({key, "{\"pools\":3}"});
        fixture.session.start();
        fixture.runFor(5s);
        CHECK(fixture.ordered.size() == hostCount);
    }
}
