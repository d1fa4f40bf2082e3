#include "CallbackLoop.h"
#include "RunningPlatform.h"
#include "ScriptedServer.h"

#include <LibStore/HttpStore.h>
#include <LibStore/TableCodec.h>
#include <Tests/LibStore/StoreContract.h>
#include <atomic>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

PlatformSettings uncapped()
{
    PlatformSettings settings;
    settings.writesPerSecond = 1e6;
    settings.readsPerSecond = 1e6;
    return settings;
}

HttpChannelSettings channelTo(const std::string &address, Duration timeout = 20s)
{
    HttpChannelSettings settings;
    settings.address = address;
    settings.instance = "test-1";
    settings.requestTimeout = timeout;
    return settings;
}

Endpoint endpointOf(StoreCallKind kind)
{
    return endpointNames.valueOf(storeCallKindNames.nameOf(kind)).value();
}

class HttpStoreUnderTest : public StoreUnderTest
{
public:
    HttpStoreUnderTest()
        : m_platform(uncapped()), m_store(channelTo(m_platform.address()), m_loop.executor())
    {
    }

    Store &store() override { return m_store; }
    void driveUntil(const std::function<bool()> &done) override { m_loop.runUntil(done); }
    void failNext(StoreCallKind kind, const StoreFault &fault) override
    {
        m_platform.call([&](Platform &platform) {
            platform.faults().add({endpointOf(kind), fault, 1});
        });
    }
    void settle() override { m_platform.skip(1s); }

    RunningPlatform &platform() { return m_platform; }

private:
    CallbackLoop m_loop;
    RunningPlatform m_platform;
    HttpStore m_store;
};

const Transaction createRow{"op", {{"a", 0}}, {{"a", "\"op\""}}};

std::string committedAnswer()
{
    return ScriptedServer::answer("200 OK", encodeCommitResult({CommitStatus::Committed, {}, 1}));
}

} // namespace

TEST_CASE("HttpStore keeps the contract of a store")
{
    checkStoreContract([] { return std::make_unique<HttpStoreUnderTest>(); });
}

TEST_CASE("HttpStore tells a commit that was not applied from one that may have been")
{
    CallbackLoop loop;
    const auto commitTo = [&](const std::string &address, Duration timeout) {
        HttpStore store(channelTo(address, timeout), loop.executor());
        return loop.wait<CommitResult>([&](auto callback) { store.commit(createRow, callback); })
            .status;
    };
    SECTION("nothing listens")
    {
        std::string address;
        {
            const RunningPlatform platform;
            address = platform.address();
        }
        REQUIRE(commitTo(address, 20s) == CommitStatus::Unavailable);
    }
    SECTION("the answer takes longer than the timeout")
    {
        RunningPlatform platform(uncapped());
        platform.call([](Platform &state) {
            state.faults().add({Endpoint::Commit, {StoreFaultKind::DelayAnswer, 1h}, 1});
        });
        REQUIRE(commitTo(platform.address(), 200ms) == CommitStatus::Unknown);
        REQUIRE(platform.call([](Platform &state) { return state.table().row("a").version; }) == 1);
    }
    SECTION("a status that the table service did not state itself decides nothing")
    {
        for (const auto *status : {"503 Service Unavailable", "200 OK", "500 Error", "404 None"}) {
            const ScriptedServer server(
                [&](unsigned) { return ScriptedServer::answer(status, "gateway"); });
            REQUIRE(commitTo(server.address(), 20s) == CommitStatus::Unknown);
        }
    }
    SECTION("a body that contradicts the status decides nothing")
    {
        const ScriptedServer server([](unsigned) {
            return ScriptedServer::answer("503 Unavailable",
                                          encodeCommitResult({CommitStatus::Committed, {}, 1}));
        });
        REQUIRE(commitTo(server.address(), 20s) == CommitStatus::Unknown);
    }
    SECTION("the platform refuses above its rate cap and counts by client")
    {
        RunningPlatform platform(uncapped());
        platform.call(
            [](Platform &state) { state.setRateCaps(RunningPlatform::currentTime(), 0.001, 1); });
        REQUIRE(commitTo(platform.address(), 20s) == CommitStatus::Committed);
        REQUIRE(commitTo(platform.address(), 20s) == CommitStatus::Unavailable);
        const auto statistics
            = platform.call([](Platform &state) { return state.statistics().toJson(); });
        REQUIRE(statistics["clients"]["test-1"]["writes"].asUInt() == 1);
        REQUIRE(statistics["clients"]["test-1"]["refused"].asUInt() == 1);
    }
}

TEST_CASE("A commit is sent once even when libcurl would send it again")
{
    CallbackLoop loop;
    // The second request finds its reused connection closed before the answer begins.
    const ScriptedServer server(
        [](unsigned request) { return request == 1 ? std::string() : committedAnswer(); });
    HttpStore store(channelTo(server.address()), loop.executor());
    const auto commit = [&] {
        return loop.wait<CommitResult>([&](auto callback) { store.commit(createRow, callback); })
            .status;
    };
    REQUIRE(commit() == CommitStatus::Committed);
    REQUIRE(commit() == CommitStatus::Unknown);
    REQUIRE(server.requests() == 2);
    REQUIRE(commit() == CommitStatus::Committed);
}

TEST_CASE("Each callback runs exactly once")
{
    SECTION("with many calls at the same time, one of the racing commits wins")
    {
        HttpStoreUnderTest subject;
        constexpr unsigned count = 200;
        unsigned answers = 0;
        unsigned committed = 0;
        for (unsigned index = 0; index < count; ++index) {
            subject.store().commit(createRow, [&](const CommitResult &result) {
                ++answers;
                committed += result.status == CommitStatus::Committed ? 1 : 0;
            });
        }
        subject.driveUntil([&] { return answers == count; });
        REQUIRE(committed == 1);
    }
    SECTION("on the thread of the channel when there is no executor, also when it closes")
    {
        RunningPlatform platform(uncapped());
        platform.call([](Platform &state) {
            state.faults().add({Endpoint::Commit, {StoreFaultKind::DelayAnswer, 1h}});
        });
        std::atomic<unsigned> answers{0};
        std::atomic<unsigned> misstated{0};
        {
            HttpStore store(channelTo(platform.address()));
            for (unsigned index = 0; index < 50; ++index) {
                store.commit(createRow, [&](const CommitResult &result) {
                    ++answers;
                    const bool certain = result.status == CommitStatus::Committed
                                         || result.status == CommitStatus::Conflict;
                    misstated += certain ? 1 : 0;
                });
            }
        }
        REQUIRE(answers == 50);
        REQUIRE(misstated == 0);
    }
    SECTION("calls above the limit are refused as not sent")
    {
        RunningPlatform platform(uncapped());
        platform.call([](Platform &state) {
            state.faults().add({Endpoint::Commit, {StoreFaultKind::DelayAnswer, 1h}, 2});
        });
        CallbackLoop loop;
        auto settings = channelTo(platform.address());
        settings.requestLimit = 2;
        HttpStore store(settings, loop.executor());
        std::vector<CommitStatus> statuses;
        for (unsigned index = 0; index < 3; ++index) {
            store.commit(createRow,
                         [&](const CommitResult &result) { statuses.push_back(result.status); });
        }
        loop.runUntil([&] { return statuses.size() == 1; });
        REQUIRE(statuses.front() == CommitStatus::Unavailable);
        const auto arrived = [](Platform &state) {
            return state.statistics().toJson()["total"]["writes"].asUInt() == 2;
        };
        while (!platform.call(arrived))
            std::this_thread::yield();
        platform.skip(2h);
        loop.runUntil([&] { return statuses.size() == 3; });
    }
}
