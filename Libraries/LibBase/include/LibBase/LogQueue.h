#pragma once

#include <LibBase/Time.h>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Peridot {

struct LogQueueSettings
{
    std::size_t mostLines = 4096; ///< waiting; further ones are dropped
    unsigned linesPerSecond = 300; ///< of one kind; further ones are dropped
    std::chrono::milliseconds gatherTime{40}; ///< lines of this time are written together
};

/// Lines on their way to a slow reader. No call waits for the reader: a thread of the queue
/// writes, and lines that do not fit are dropped and counted by kind. All functions: any thread.
class LogQueue
{
public:
    using Sink = std::function<void(const std::vector<std::string> &lines)>;
    using Clock = std::function<TimePoint()>;
    /// Line that reports how many lines of a kind were dropped.
    using DropLine = std::function<std::string(std::string_view kind, std::uint64_t count)>;

    LogQueue(LogQueueSettings settings, Sink sink, Clock clock, DropLine dropLine);
    /// Writes what is left, unless the reader blocks for longer than a second.
    ~LogQueue();

    /// Whether there is room for a line of this kind. A line that is refused counts as dropped; the
    /// caller adds one that is not.
    bool admits(std::string_view kind);
    void add(std::string line);
    /// Whether all lines are written, after a wait of up to \a limit.
    bool drain(std::chrono::milliseconds limit);
    std::uint64_t droppedLines() const;

private:
    struct Kind
    {
        TimePoint second; ///< begin of the second that is counted
        unsigned lines = 0;
        std::uint64_t dropped = 0; ///< not reported yet
    };
    /// Shared with the thread, which outlives the queue when its reader blocks.
    struct State
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<std::string> lines;
        std::map<std::string, Kind, std::less<>> kinds;
        std::uint64_t dropped = 0;
        bool writing = false;
        bool stopping = false;
    };

    static void run(const std::shared_ptr<State> &state, std::chrono::milliseconds gatherTime,
                    const Sink &sink, const DropLine &dropLine);
    static std::vector<std::string> takeLines(State &state, const DropLine &dropLine);

    const LogQueueSettings m_settings;
    const Clock m_clock;
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

} // namespace Peridot
