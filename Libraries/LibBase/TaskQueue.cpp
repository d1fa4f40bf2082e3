#include <LibBase/TaskQueue.h>

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <utility>

namespace Peridot {

namespace {

// The loop handles its timers and I/O events at least this often, unless one task takes longer.
constexpr std::chrono::milliseconds turnDuration{2};
// A task of a lower priority runs after this many tasks of higher ones, and after they have taken
// this multiple of the time of its predecessor.
constexpr unsigned turnsBeforeLowerPriority = 16;
constexpr int timeBeforeLowerPriority = 4;
// More than that is not the task's own time: the process was suspended meanwhile.
constexpr std::chrono::milliseconds longestTurn{100};

} // namespace

void TaskQueue::post(TaskPriority priority, Task task)
{
    m_levels.at(static_cast<std::size_t>(priority)).tasks.push_back(std::move(task));
    scheduleTurn();
}

std::size_t TaskQueue::size() const
{
    std::size_t size = 0;
    for (const Level &level : m_levels)
        size += level.tasks.size();
    return size;
}

void TaskQueue::scheduleTurn()
{
    if (std::exchange(m_turnScheduled, true))
        return;
    // The loop looks for timers and I/O events behind the first handler, and queues those that are
    // ready before the second one.
    asio::post(m_context, [this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        asio::post(m_context, [this, alive] {
            if (!alive.expired())
                runTurn();
        });
    });
}

void TaskQueue::runTurn()
{
    m_turnScheduled = false;
    const auto end = m_clock() + turnDuration;
    const std::weak_ptr alive = m_alive;
    while (size() > 0) {
        Level &level = nextLevel();
        const Task task = std::move(level.tasks.front());
        level.tasks.pop_front();
        // The next turn is scheduled before, because the task may throw.
        if (size() > 0)
            scheduleTurn();
        const auto begin = m_clock();
        task();
        if (alive.expired())
            return;
        const auto now = m_clock();
        turnEnded(level, now - begin);
        if (now >= end)
            return;
    }
}

TaskQueue::Level &TaskQueue::nextLevel()
{
    const auto waits = [](const Level &level) {
        return !level.tasks.empty();
    };
    auto next = std::find_if(m_levels.begin(), m_levels.end(), waits);
    for (auto lower = std::next(next); lower != m_levels.end(); ++lower) {
        if (waits(*lower) && ++lower->turnsPassed > turnsBeforeLowerPriority
            && lower->timePassed >= lower->latestTurn * timeBeforeLowerPriority)
            next = lower;
    }
    next->turnsPassed = 0;
    next->timePassed = {};
    return *next;
}

void TaskQueue::turnEnded(Level &level, std::chrono::steady_clock::duration time)
{
    level.latestTurn = std::min<std::chrono::steady_clock::duration>(time, longestTurn);
    for (Level *lower = &level + 1; lower != m_levels.data() + m_levels.size(); ++lower) {
        if (!lower->tasks.empty())
            lower->timePassed += time;
    }
}

} // namespace Peridot
