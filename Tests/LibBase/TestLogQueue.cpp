#include <LibBase/LogQueue.h>
#include <atomic>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds farLimit{60}; // never reached unless the queue is stuck

/// A reader that takes no line until it is let go.
struct SlowReader
{
    std::mutex mutex;
    std::condition_variable changed;
    bool open = false;
    std::vector<std::string> lines;

    void take(const std::vector<std::string> &taken)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [this] { return open; });
        lines.insert(lines.end(), taken.begin(), taken.end());
    }
    void letGo()
    {
        {
            const std::lock_guard lock(mutex);
            open = true;
        }
        changed.notify_all();
    }
};

bool addLine(LogQueue &queue, std::string_view kind, std::string line)
{
    if (!queue.admit(kind))
        return false;
    queue.add(std::move(line));
    return true;
}

std::string dropReport(std::string_view kind, std::uint64_t count)
{
    return "dropped " + std::string(kind) + ' ' + std::to_string(count);
}

} // namespace

TEST_CASE("A reader that takes no lines holds up no decision")
{
    // Guards against a log call that waits for the standard output.
    SlowReader reader;
    TimePoint now{1h};
    LogQueueSettings settings;
    settings.maximumLines = 10;
    settings.linesPerSecond = 1000;
    settings.batchInterval = 0ms;
    LogQueue queue(
        settings, [&](const auto &lines) { reader.take(lines); }, [&] { return now; }, dropReport);
    unsigned accepted = 0;
    for (unsigned line = 0; line < 100; ++line)
        accepted += addLine(queue, "decision", std::to_string(line)) ? 1 : 0;

    SECTION("what does not fit is dropped and counted")
    {
        // The thread may have taken some lines before it met the reader.
        REQUIRE(accepted >= settings.maximumLines);
        REQUIRE(accepted <= 2 * settings.maximumLines + 1);
        REQUIRE(queue.droppedLines() == 100 - accepted);
    }
    SECTION("the reader gets the rest, and the number of lines that it missed")
    {
        reader.letGo();
        REQUIRE(queue.drain(farLimit));
        REQUIRE(addLine(queue, "decision", "after"));
        REQUIRE(queue.drain(farLimit));
        const std::lock_guard lock(reader.mutex);
        REQUIRE(reader.lines.front() == "0");
        // Several reports, when lines were dropped before the thread met the reader.
        unsigned reported = 0;
        const std::string prefix = "dropped decision ";
        for (const auto &line : reader.lines) {
            if (line.starts_with(prefix))
                reported += static_cast<unsigned>(std::stoul(line.substr(prefix.size())));
        }
        REQUIRE(reported == 100 - accepted);
    }
    reader.letGo();
}

TEST_CASE("Lines of one kind are limited, so that a flood hides no other event")
{
    TimePoint now{1h};
    std::mutex mutex;
    std::vector<std::string> lines;
    LogQueueSettings settings;
    settings.linesPerSecond = 3;
    LogQueue queue(
        settings,
        [&](const auto &taken) {
            const std::lock_guard lock(mutex);
            lines.insert(lines.end(), taken.begin(), taken.end());
        },
        [&] { return now; }, dropReport);
    for (unsigned line = 0; line < 5; ++line)
        REQUIRE(addLine(queue, "frequent", "line") == (line < 3));
    REQUIRE(addLine(queue, "rare", "line"));

    SECTION("the next second begins anew")
    {
        now += 1s;
        REQUIRE(addLine(queue, "frequent", "line"));
    }
    SECTION("the drops are reported by kind")
    {
        REQUIRE(queue.drain(farLimit));
        const std::lock_guard lock(mutex);
        REQUIRE(std::count(lines.begin(), lines.end(), "dropped frequent 2") == 1);
    }
}
