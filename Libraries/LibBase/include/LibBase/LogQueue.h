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
    std::size_t maximumLines = 4096; ///< queued lines; further ones are dropped
    unsigned linesPerSecond = 300; ///< for each kind; further ones are dropped
    std::chrono::milliseconds batchInterval{40}; ///< lines of this period are written together
};

/// Queue of log lines between the threads of the process and a reader that may be slow. No call
/// waits for the reader: a thread of the queue writes the lines, and lines beyond the limits are
/// dropped and counted by kind. All functions may be called on any thread.
class LogQueue
{
public:
    using Sink = std::function<void(const std::vector<std::string> &lines)>;
    using Clock = std::function<TimePoint()>;
    /// Formats a line that reports how many lines of a kind were dropped.
    using DropReport = std::function<std::string(std::string_view kind, std::uint64_t count)>;

    LogQueue(LogQueueSettings settings, Sink sink, Clock clock, DropReport dropReport);
    /// Writes the remaining lines, unless the reader blocks for longer than a second.
    ~LogQueue();

    /// Returns whether a line of this kind is within the limits. If so, the caller must add() it;
    /// otherwise it is counted as dropped.
    bool admit(std::string_view kind);
    void add(std::string line);
    /// Waits up to \a limit until all lines are written. Returns whether they are.
    bool drain(std::chrono::milliseconds limit);
    std::uint64_t droppedLines() const;

private:
    struct Kind
    {
        TimePoint second; ///< start of the second in which lines are counted
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

    static void run(const std::shared_ptr<State> &state, std::chrono::milliseconds batchInterval,
                    const Sink &sink, const DropReport &dropReport);
    static std::vector<std::string> takeLines(State &state, const DropReport &dropReport);

    const LogQueueSettings m_settings;
    const Clock m_clock;
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

} // namespace Peridot
