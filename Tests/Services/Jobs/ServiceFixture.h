#pragma once

#include <LibStore/MemoryStore.h>
#include <Services/Jobs/JobService.h>
#include <algorithm>
#include <asio/post.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Peridot::Jobs::Test {

using namespace std::chrono_literals;

/// A store whose answers tell its time.
class ClockedStore : public MemoryStore
{
public:
    void commit(const Transaction &transaction, CommitCallback callback) override
    {
        MemoryStore::commit(transaction, withTime<CommitResult>(std::move(callback)));
    }
    void read(const std::vector<std::string> &keys, ReadCallback callback) override
    {
        MemoryStore::read(keys, withTime<ReadResult>(std::move(callback)));
    }
    void scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
              ReadCallback callback) override
    {
        MemoryStore::scan(prefix, startAfter, limit, withTime<ReadResult>(std::move(callback)));
    }
    std::chrono::milliseconds time() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch());
    }

private:
    template <typename Result>
    std::function<void(const Result &)> withTime(std::function<void(const Result &)> callback)
    {
        return [this, callback = std::move(callback)](const Result &answer) {
            Result result = answer;
            result.storeMilliseconds = time().count();
            callback(result);
        };
    }
};

/// Changes of a MemoryStore, each call answered after a short wait, except while a prefix is
/// silent.
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
            if (prefix == silentPrefix)
                return;
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

    std::string silentPrefix;

private:
    asio::io_context &m_context;
    MemoryStore &m_store;
};

/// The only process of a fleet with one worker, whose answers to polls the test gives.
class ServiceFixture
{
public:
    ServiceFixture() : feed(context, store)
    {
        write({"servers/w", "{}"});
        PlatformPorts ports;
        ports.store = &store;
        ports.callerStore = &store;
        ports.feed = &feed;
        ports.urgentStore = &store;
        ports.urgentFeed = &feed;
        ports.tasks = &tasks;
        ports.operatorPrefix = "op/";
        ports.workerPrefix = "servers/";
        ports.decodeConfiguration = [this](const Row &row) {
            return row.key == "op/config" ? configuration : nullptr;
        };
        ports.decodeWave = [](const Row &) {
            return std::nullopt;
        };
        ports.decodeWorker = [](const Row &) {
            WorkerDescription worker;
            worker.id = "w";
            worker.address = "10.0.0.1";
            worker.pool = "pool";
            worker.capacity = {1'000'000, 1'000'000, 0};
            worker.startedAt = 1000;
            return std::optional(worker);
        };
        ports.setWorkerAddress = [](const WorkerDescription &) {
        };
        ports.connectWorkers = [this](WorkerReplyHooks replies) {
            WorkerOrderHooks hooks;
            hooks.start = [this, started = replies.started](const StartOrder &order) {
                asio::post(context, [started, order] {
                    started(order, {OrderOutcome::Accepted, 1});
                });
            };
            hooks.poll = [this, replies = std::move(replies)](const PollOrder &order) {
                asio::post(context,
                           [this, replies, order] { replies.polled(order, onPoll(order)); });
            };
            return hooks;
        };
        JobServiceSettings settings;
        settings.host = "host";
        settings.instance = "host-1";
        service = std::make_unique<JobService>(context, settings, std::move(ports));
        service->start();
    }

    void write(const RowWrite &write)
    {
        Transaction transaction;
        transaction.operationId = "test/" + write.key;
        transaction.writes = {write};
        store.commit(transaction, [](const CommitResult &) {});
    }

    /// Runs the service until \a condition holds, or \a limit has passed. Returns whether it holds.
    template <typename Condition>
    bool runUntil(std::chrono::seconds limit, Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            store.advanceTo(TimePoint(std::chrono::hours(1))
                            + (std::chrono::steady_clock::now() - m_startedAt));
            context.run_for(5ms);
            context.restart();
            if (condition())
                return true;
        }
        return false;
    }

    asio::io_context context;
    TaskQueue tasks{context};
    ClockedStore store;
    MemoryFeed feed;
    std::function<PollReply(const PollOrder &)> onPoll = [](const PollOrder &) {
        return acceptedPoll();
    };
    /// In force from the first write of the row op/config on.
    std::shared_ptr<const JobConfiguration> configuration;
    std::unique_ptr<JobService> service;

    static PollReply acceptedPoll()
    {
        PollReply reply;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = 1;
        reply.startedAt = 1000;
        return reply;
    }

private:
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
};

} // namespace Peridot::Jobs::Test
