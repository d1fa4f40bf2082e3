#include "BackendFixture.h"
#include "HoldingServer.h"

#include <ConnectionShares.h>
#include <LibBase/Random.h>
#include <LibHttp/BackendTransport.h>
#include <algorithm>
#include <numeric>
#include <rapidcheck.h>

using namespace Peridot;

namespace {

struct TransportFixture
{
    explicit TransportFixture(unsigned threads, std::function<bool()> maySend = {})
    {
        BackendTransportSettings settings;
        settings.threads = threads;
        // Longer than any test, so that every connection beyond the limit shows in the counts.
        settings.client.idleConnectionTimeout = std::chrono::seconds(600);
        settings.client.maySend = std::move(maySend);
        transport = std::make_unique<BackendTransport>(context, settings, [this] { ++batches; });
    }

    void limit(std::uint16_t port, unsigned connections)
    {
        transport->setConnectionLimits({{"127.0.0.1", port, connections}});
    }

    void start(std::uint16_t port, std::chrono::milliseconds timeout = std::chrono::seconds(120))
    {
        BackendRequest request;
        request.address = "127.0.0.1";
        request.port = port;
        auto message = std::make_shared<RequestMessage>();
        message->method = "GET";
        message->target = "/service/x";
        request.message = std::move(message);
        request.timeout = timeout;
        transport->start(std::move(request), [this](const BackendAnswer &answer) {
            statuses.push_back(answer.status);
        });
    }

    void startMany(std::uint16_t port, unsigned count)
    {
        for (unsigned index = 0; index < count; ++index)
            start(port);
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition())
            context.run_one_for(std::chrono::milliseconds(1));
    }

    void runUntilEnded(std::size_t count)
    {
        runUntil([&] { return statuses.size() >= count; });
    }

    std::size_t countOf(AttemptStatus status) const
    {
        return static_cast<std::size_t>(std::count(statuses.begin(), statuses.end(), status));
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work
        = asio::make_work_guard(context);
    std::vector<AttemptStatus> statuses;
    std::size_t batches = 0;
    std::unique_ptr<BackendTransport> transport;
};

} // namespace

// Guards against a connection that no thread may use while a request waits, and against parts that
// sum up to more than the limit.
TEST_CASE("The parts of all threads sum up to the limit and none stays unused")
{
    REQUIRE(rc::check([] {
        const auto threads = *rc::gen::inRange(1U, 9U);
        ConnectionShares shares(threads, *rc::gen::inRange(0U, 20U));
        unsigned limit = 0;
        std::vector<unsigned> open(threads);
        const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100U));
        for (const unsigned step : steps) {
            if (step < 10)
                shares.setLimit(limit = step * 3);
            unsigned sum = 0;
            for (unsigned thread = 0; thread < threads; ++thread)
                sum += shares.share(thread);
            RC_ASSERT(sum == limit);
            if (step >= 60) {
                const unsigned thread = step % threads;
                if (open[thread] > 0) {
                    --open[thread];
                    shares.ended(thread);
                }
                continue;
            }
            const unsigned total = std::accumulate(open.begin(), open.end(), 0U);
            const auto chosen = shares.choose(open);
            const bool within = [&] {
                for (unsigned thread = 0; thread < threads; ++thread) {
                    if (open[thread] > shares.share(thread))
                        return false;
                }
                return true;
            }();
            if (within)
                RC_ASSERT(chosen.has_value() == (total < limit));
            if (!chosen)
                continue;
            RC_ASSERT(open[*chosen] < shares.share(*chosen));
            shares.opened(*chosen);
            ++open[*chosen];
        }
    }));
}

TEST_CASE("Connections over all transport threads stay within the limit of the server")
{
    for (const unsigned threads : {1U, 3U, 5U}) {
        for (const unsigned limit : {1U, 4U, 7U}) {
            DYNAMIC_SECTION(threads << " threads and " << limit << " connections")
            {
                HoldingServer server;
                TransportFixture fixture(threads);
                fixture.limit(server.port(), limit);
                SECTION("in a stream of requests")
                {
                    fixture.startMany(server.port(), 300);
                    fixture.runUntilEnded(300);
                    REQUIRE(fixture.countOf(AttemptStatus::Answered) == 300);
                    REQUIRE(server.requests == 300);
                    REQUIRE(server.accepted <= limit);
                    REQUIRE(fixture.transport->openTransfers() == 0);
                    REQUIRE(fixture.batches <= 300);
                }
                SECTION("and all of them can be in use at once")
                {
                    server.hold();
                    fixture.startMany(server.port(), limit + 5);
                    fixture.runUntil([&] { return server.requests == limit; });
                    server.release();
                    fixture.runUntilEnded(limit + 5);
                    REQUIRE(fixture.countOf(AttemptStatus::Answered) == limit + 5);
                    REQUIRE(server.accepted == limit);
                }
            }
        }
    }
}

TEST_CASE("Each server has its own connection limit")
{
    HoldingServer first;
    HoldingServer second;
    TransportFixture fixture(2);
    fixture.transport->setConnectionLimits(
        {{"127.0.0.1", first.port(), 1}, {"127.0.0.1", second.port(), 5}});
    first.hold();
    second.hold();
    fixture.startMany(first.port(), 10);
    fixture.startMany(second.port(), 10);
    fixture.runUntil([&] { return first.requests == 1 && second.requests == 5; });
    first.release();
    second.release();
    fixture.runUntilEnded(20);
    REQUIRE(first.accepted == 1);
    REQUIRE(second.accepted == 5);
}

// A lowered limit means that another entry process may open the connections now.
TEST_CASE("Connections above a lowered limit are closed")
{
    HoldingServer server;
    TransportFixture fixture(3);
    fixture.limit(server.port(), 6);
    server.hold();
    fixture.startMany(server.port(), 6);
    fixture.runUntil([&] { return server.requests == 6; });
    SECTION("when they are idle")
    {
        server.release();
        fixture.runUntilEnded(6);
        REQUIRE(server.open == 6);
        fixture.limit(server.port(), 2);
    }
    SECTION("when their transfers end")
    {
        fixture.limit(server.port(), 2);
        fixture.startMany(server.port(), 4);
        server.release();
        fixture.runUntilEnded(10);
        REQUIRE(server.accepted <= 8);
    }
    const unsigned before = server.accepted;
    fixture.runUntil([&] { return server.open <= 2; });
    const std::size_t ended = fixture.statuses.size();
    fixture.startMany(server.port(), 50);
    fixture.runUntilEnded(ended + 50);
    REQUIRE(fixture.countOf(AttemptStatus::Answered) == ended + 50);
    REQUIRE(server.accepted <= before + 2);
}

TEST_CASE("A request that waits for a connection until its timeout was not sent")
{
    HoldingServer server;
    TransportFixture fixture(2);
    fixture.limit(server.port(), 2);
    server.hold();
    fixture.startMany(server.port(), 2);
    fixture.runUntil([&] { return server.requests == 2; });
    fixture.start(server.port(), std::chrono::milliseconds(20));
    fixture.runUntilEnded(1);
    REQUIRE(fixture.countOf(AttemptStatus::NotSent) == 1);
    server.release();
    fixture.runUntilEnded(3);
    REQUIRE(fixture.countOf(AttemptStatus::Answered) == 2);
    REQUIRE(server.requests == 2);
}

// Guards against a request that a paused process sends after its lease or its deadline has ended.
TEST_CASE("A request that may not be sent any more was not sent")
{
    HoldingServer server;
    SECTION("because the owner forbids it while the connection opens")
    {
        std::atomic<unsigned> asked{0};
        TransportFixture fixture(2, [&] {
            ++asked;
            return false;
        });
        fixture.startMany(server.port(), 8);
        fixture.runUntilEnded(8);
        REQUIRE(asked == 8);
        REQUIRE(fixture.countOf(AttemptStatus::NotSent) == 8);
    }
    SECTION("because its timeout ended before a transport thread took it")
    {
        TransportFixture fixture(2);
        fixture.start(server.port(), std::chrono::milliseconds(0));
        fixture.runUntilEnded(1);
        REQUIRE(fixture.countOf(AttemptStatus::NotSent) == 1);
    }
    REQUIRE(server.requests == 0);
}

// Guards against an outcome "not run" for a request that may run after the process has stopped.
TEST_CASE("A stop with open transfers reports none of them")
{
    HoldingServer server;
    TransportFixture fixture(3);
    fixture.limit(server.port(), 4);
    SECTION("while the server executes them and others wait")
    {
        server.hold();
        fixture.startMany(server.port(), 12);
        fixture.runUntil([&] { return server.requests == 4; });
        fixture.transport.reset();
        fixture.context.poll();
        REQUIRE(fixture.statuses.empty());
        REQUIRE(server.requests == 4);
    }
    SECTION("at any moment")
    {
        for (unsigned round = 0; round < 100; ++round) {
            fixture.statuses.clear();
            fixture.startMany(server.port(), 12);
            for (unsigned step = 0; step < round % 10; ++step)
                fixture.context.poll_one();
            fixture.transport.reset();
            fixture.context.poll();
            REQUIRE(fixture.countOf(AttemptStatus::Answered) == fixture.statuses.size());
            BackendTransportSettings settings;
            settings.threads = 3;
            fixture.transport
                = std::make_unique<BackendTransport>(fixture.context, settings, nullptr);
            fixture.limit(server.port(), 4);
        }
        REQUIRE(server.requests <= 1200);
    }
}

TEST_CASE("With several threads a request runs at most once and never after a not-sent end")
{
    const std::vector<std::string> faults
        = {"", "", "refuse", "close-before-answer", "close-reused", "die-in-body"};
    BackendFixture backend({}, 64);
    TransportFixture fixture(3);
    fixture.limit(backend.server->port(), 5);
    RandomSource random(7);
    std::vector<std::optional<AttemptStatus>> ends(400);
    std::size_t ended = 0;
    for (std::size_t index = 0; index < ends.size(); ++index) {
        auto request = backend.request("POST", faults[random.below(faults.size())],
                                       "id-" + std::to_string(index));
        // Some end while they wait for a connection.
        request.timeout = std::chrono::milliseconds(random.below(8) == 0 ? 1 : 120000);
        fixture.transport->start(std::move(request), [&, index](const BackendAnswer &answer) {
            CHECK_FALSE(ends[index].has_value());
            ends[index] = answer.status;
            ++ended;
        });
    }
    fixture.runUntil([&] { return ended == ends.size(); });
    const auto counts = backend.counts();
    for (std::size_t index = 0; index < ends.size(); ++index) {
        const unsigned runs = counts["runs"].get("id-" + std::to_string(index), 0).asUInt();
        INFO("request " << index << " ended as " << attemptStatusNames.nameOf(*ends[index]));
        REQUIRE(runs <= 1);
        if (ends[index] == AttemptStatus::NotSent || ends[index] == AttemptStatus::Refused)
            REQUIRE(runs == 0);
        if (ends[index] == AttemptStatus::Answered)
            REQUIRE(runs == 1);
    }
    SECTION("a refused connection was not sent")
    {
        const std::uint16_t port = backend.server->port();
        backend.server.reset();
        TransportFixture other(3);
        other.startMany(port, 10);
        other.runUntilEnded(10);
        REQUIRE(other.countOf(AttemptStatus::NotSent) == 10);
    }
}
