#pragma once

#include <Kernel/Jobs/JobRows.h>
#include <LibStore/MemoryStore.h>
#include <Services/Jobs/JobFrontend.h>
#include <catch2/catch.hpp>
#include <fmt/core.h>

namespace Peridot::Jobs::Test {

using namespace std::chrono_literals;

/// Store that takes a limited number of writes and reads, and refuses the others.
class LimitedStore : public MemoryStore
{
public:
    void commit(const Transaction &transaction, CommitCallback callback) override
    {
        ++writeAttempts;
        if (writesLeft > 0) {
            --writesLeft;
            return MemoryStore::commit(transaction, std::move(callback));
        }
        CommitResult refused;
        refused.rateLimited = true;
        callback(refused);
    }
    void read(const std::vector<std::string> &keys, ReadCallback callback) override
    {
        ++readAttempts;
        if (takesReads)
            return MemoryStore::read(keys, std::move(callback));
        ReadResult refused;
        refused.rateLimited = true;
        callback(refused);
    }

    unsigned writesLeft = 1'000'000;
    bool takesReads = true;
    unsigned writeAttempts = 0;
    unsigned readAttempts = 0;
};

/// Frontend on a LimitedStore.
class OverloadFixture
{
public:
    OverloadFixture() : frontend(context, store, hooks())
    {
        store.advanceTo(TimePoint(std::chrono::hours(1)));
        JobConfiguration known;
        known.queues = {{"checks", "host", "/checks/", "pool", 0, 3, 1.6, 600ms}};
        configuration = std::make_shared<JobConfiguration>(known);
    }

    CallAnswer submit(unsigned number, bool longRunning = false)
    {
        JobCall call;
        call.kind = CallKind::Submit;
        call.hostName = "host";
        call.id = fmt::format("{:016x}", number);
        call.path = "/checks/" + call.id;
        call.queue = "checks";
        call.specification.steps.resize(1);
        call.specification.steps.front().longRunning = longRunning;
        call.timeout = 1s;
        std::optional<CallAnswer> result;
        frontend.handle(call, [&](const CallAnswer &answer) { result = answer; });
        for (int round = 0; round < 200 && !result; ++round) {
            store.run();
            context.restart();
            context.run_for(1ms);
            store.advanceTo(store.now() + 20ms);
        }
        REQUIRE(result);
        return *result;
    }

    asio::io_context context;
    LimitedStore store;
    std::shared_ptr<const JobConfiguration> configuration;
    std::optional<std::chrono::seconds> refusal;
    JobFrontend frontend;

private:
    JobFrontend::Hooks hooks()
    {
        JobFrontend::Hooks hooks;
        hooks.clock = [this] {
            return store.now();
        };
        hooks.configuration = [this] {
            return configuration;
        };
        hooks.refuse = [this](const JobCall &, const std::string &) {
            return refusal;
        };
        return hooks;
    }
};

} // namespace Peridot::Jobs::Test
