#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace Peridot {

/// Which of the waiting tasks of a TaskQueue runs first.
enum class TaskPriority {
    Urgent, ///< must be in time: the renewal of a lease, for example
    High, ///< what the decisions on other work depend on
    Normal,
    Background, ///< may wait while the process is busy
};

/// Runs tasks one at a time on an event loop, those of a higher priority first, and lets the loop
/// handle its timers and I/O events in between. Without it, the loop runs everything in the order
/// in which it became ready, so that an urgent task waits for all others while the process is
/// behind. Must only be used on the thread that runs the loop.
///
/// A lower priority is never left out: it gets a turn after a number of turns of higher ones that
/// took a multiple of the time of its own latest turn. So it takes a bounded share of the time,
/// however long its tasks are.
class TaskQueue
{
public:
    using Task = std::function<void()>;
    using Clock = std::function<std::chrono::steady_clock::time_point()>;

    explicit TaskQueue(asio::io_context &context, Clock clock = std::chrono::steady_clock::now)
        : m_context(context), m_clock(std::move(clock))
    {
    }
    TaskQueue(const TaskQueue &) = delete;
    TaskQueue &operator=(const TaskQueue &) = delete;

    /// Runs \a task after this function has returned, unless this object is destroyed before.
    void post(TaskPriority priority, Task task);
    /// Number of tasks that wait.
    std::size_t size() const;

private:
    struct Level
    {
        std::deque<Task> tasks;
        unsigned turnsPassed = 0; ///< of higher priorities while a task waited
        std::chrono::steady_clock::duration timePassed{0}; ///< that these turns took
        std::chrono::steady_clock::duration latestTurn{0}; ///< time that the latest task took
    };

    void scheduleTurn();
    /// Runs waiting tasks for a short time.
    void runTurn();
    /// Level whose first task runs next. At least one task must wait.
    Level &nextLevel();
    /// A task of \a level took \a time.
    void turnEnded(Level &level, std::chrono::steady_clock::duration time);

    asio::io_context &m_context;
    Clock m_clock;
    std::array<Level, 4> m_levels; ///< by priority
    bool m_turnScheduled = false;
    /// Turns that run after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot
