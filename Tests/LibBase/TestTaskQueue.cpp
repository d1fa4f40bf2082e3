#include <LibBase/OneShotTimer.h>
#include <LibBase/TaskQueue.h>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <utility>

using namespace Peridot;
using namespace std::chrono_literals;

TEST_CASE("Urgent work does not wait for what was ready before it")
{
    // Guards against renewals of a lease and polls that wait behind planning and rows (LOST).
    asio::io_context context;
    TaskQueue tasks(context);
    std::string order;
    const auto add = [&](TaskPriority priority, char name) {
        tasks.post(priority, [&order, name] { order += name; });
    };

    SECTION("the higher priority runs first")
    {
        add(TaskPriority::Background, 'b');
        add(TaskPriority::Normal, 'n');
        add(TaskPriority::Urgent, 'u');
        context.run();
        CHECK(order == "unb");
    }
    SECTION("a timer that becomes due runs before the tasks that wait")
    {
        OneShotTimer timer(context);
        timer.runAfter(1ms, [&] { order += 't'; });
        for (const char name : {'1', '2', '3'}) {
            tasks.post(TaskPriority::Background, [&order, name] {
                std::this_thread::sleep_for(5ms);
                order += name;
            });
        }
        context.run();
        CHECK(order.find('t') < order.find('2'));
    }
    SECTION("the lowest priority gets a turn although higher ones never end")
    {
        std::function<void()> repeat = [&] {
            if (order.empty())
                tasks.post(TaskPriority::Urgent, repeat);
        };
        repeat();
        add(TaskPriority::Background, 'b');
        context.run_for(2s);
        CHECK(order == "b");
    }
    SECTION("long tasks of a lower priority take a bounded share of the time")
    {
        // Guards against answers that wait for seconds behind planning passes (LOST).
        std::chrono::steady_clock::time_point now;
        TaskQueue fakeTime(context, [&] { return now; });
        std::chrono::milliseconds answers{0};
        std::chrono::milliseconds passes{0};
        std::chrono::milliseconds suspended{0};
        std::function<void()> pass = [&] {
            now += 20ms + std::exchange(suspended, 0ms);
            passes += 20ms;
            fakeTime.post(TaskPriority::Background, pass);
        };
        std::function<void()> answer = [&] {
            now += 1ms;
            answers += 1ms;
            if (answers < 1s)
                fakeTime.post(TaskPriority::Normal, answer);
            else
                context.stop();
        };
        fakeTime.post(TaskPriority::Background, pass);
        fakeTime.post(TaskPriority::Normal, answer);
        SECTION("and no less than a fifth of it")
        {
            context.run();
            CHECK(passes >= 200ms);
            CHECK(passes <= answers / 4 + 40ms);
        }
        SECTION("also after the process was suspended during one of them")
        {
            // Guards against planning that stands still after a pause of the process (LOST).
            suspended = 10s;
            context.run();
            CHECK(passes >= 100ms);
        }
    }
    SECTION("the other tasks run after one that throws")
    {
        tasks.post(TaskPriority::Normal, [] { throw std::runtime_error("unexpected"); });
        add(TaskPriority::Normal, 'n');
        CHECK_THROWS(context.run());
        context.restart();
        context.run();
        CHECK(order == "n");
    }
}
