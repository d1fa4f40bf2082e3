#include <LibStore/MemoryStore.h>
#include <Services/Jobs/JobService.h>
#include <algorithm>
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <vector>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

/// Changes of a MemoryStore, each call answered after a short wait.
class MemoryFeed : public ChangeFeed
{
public:
    MemoryFeed(asio::io_context &context, MemoryStore &store) : m_context(context), m_store(store)
    {
    }
    void follow(const std::string &prefix, Version after, std::chrono::milliseconds,
                Callback callback) override
    {
        const auto timer = std::make_shared<OneShotTimer>(m_context);
        timer->runAfter(20ms, [this, timer, prefix, after, callback = std::move(callback)] {
            FeedResult result;
            result.status = FeedStatus::Ok;
            result.revision = after;
            for (const Row &row : m_store.snapshot()) {
                result.revision = std::max(result.revision, row.version);
                if (row.key.starts_with(prefix) && row.version > after)
                    result.changes.push_back({row, false});
            }
            callback(result);
        });
    }

private:
    asio::io_context &m_context;
    MemoryStore &m_store;
};

/// The only process of a fleet with one worker, which refuses the first poll because of its epoch.
class FencedFixture
{
public:
    FencedFixture() : feed(context, store)
    {
        Transaction transaction;
        transaction.operationId = "test";
        transaction.writes = {{"servers/w", "{}"}};
        store.commit(transaction, [](const CommitResult &) {});
        PlatformPorts ports;
        ports.store = &store;
        ports.feed = &feed;
        ports.operatorPrefix = "op/";
        ports.workerPrefix = "servers/";
        ports.decodeConfiguration = [](const Row &) {
            return nullptr;
        };
        ports.decodeWave = [](const Row &) {
            return std::nullopt;
        };
        ports.decodeWorker = [](const Row &) {
            WorkerDescription worker;
            worker.id = "w";
            worker.address = "10.0.0.1";
            worker.startedAt = 1000;
            return std::optional(worker);
        };
        ports.setWorkerAddress = [](const WorkerDescription &) {
        };
        ports.connectWorkers = [this](WorkerReplyHooks replies) {
            WorkerOrderHooks hooks;
            hooks.poll = [this, replies = std::move(replies)](const PollOrder &order) {
                epochs.push_back(order.fencingEpoch);
                PollReply reply;
                reply.startedAt = 1000;
                reply.outcome = order.fencingEpoch == epochs.front() ? OrderOutcome::Fenced
                                                                     : OrderOutcome::Accepted;
                asio::post(context, [replies, order, reply] { replies.polled(order, reply); });
            };
            return hooks;
        };
        JobServiceSettings settings;
        settings.host = "host";
        settings.instance = "host-1";
        service = std::make_unique<JobService>(context, settings, std::move(ports));
        service->start();
    }

    /// Runs until the worker was polled under a later epoch, or \a limit has passed.
    bool runUntilLaterEpoch(std::chrono::seconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            store.run();
            context.run_for(5ms);
            context.restart();
            if (!epochs.empty() && epochs.back() > epochs.front())
                return true;
        }
        return false;
    }

    asio::io_context context;
    MemoryStore store;
    MemoryFeed feed;
    std::vector<std::uint64_t> epochs; ///< of the polls
    std::unique_ptr<JobService> service;
};

} // namespace

TEST_CASE("A scheduler that was fenced while it holds the lease does not keep the lease")
{
    // Guards against a process that goes on renewing the lease without scheduling: no other process
    // could schedule either, and no job was started any more (LOST).
    FencedFixture fixture;
    REQUIRE(fixture.runUntilLaterEpoch(15s));
}
