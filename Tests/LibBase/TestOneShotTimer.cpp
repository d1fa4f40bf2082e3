#include <LibBase/OneShotTimer.h>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace Peridot;
using namespace std::chrono_literals;

TEST_CASE("The step of a timer does not run after its owner is gone, not even when it was due")
{
    // Guards against a step that is queued when another handler destroys the owner of the timer:
    // processes ended by themselves when a scheduler that was succeeded stopped at such a moment.
    asio::io_context context;
    OneShotTimer first(context);
    auto second = std::make_unique<OneShotTimer>(context);
    unsigned steps = 0;
    const auto waitUntilDue = [] {
        std::this_thread::sleep_for(10ms);
    };

    SECTION("a timer that is destroyed")
    {
        first.runAfter(1ms, [&] { second.reset(); });
        second->runAfter(2ms, [&] { ++steps; });
        waitUntilDue();
        context.run();
        REQUIRE(steps == 0);
    }
    SECTION("a timer that is cancelled")
    {
        first.runAfter(1ms, [&] { second->cancel(); });
        second->runAfter(2ms, [&] { ++steps; });
        waitUntilDue();
        context.run();
        REQUIRE(steps == 0);
    }
    SECTION("a timer that is started again runs only the new step")
    {
        first.runAfter(1ms, [&] { second->runAfter(1ms, [&] { steps += 10; }); });
        second->runAfter(2ms, [&] { ++steps; });
        waitUntilDue();
        context.run();
        REQUIRE(steps == 10);
    }
    SECTION("otherwise the step runs once")
    {
        second->runAfter(1ms, [&] { ++steps; });
        context.run();
        REQUIRE(steps == 1);
    }
}
