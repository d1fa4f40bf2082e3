#include <LibBase/LogQueue.h>

#include <iterator>
#include <utility>

namespace Peridot {

namespace {

// A process that ends gives its reader this long to take the last lines.
constexpr std::chrono::milliseconds lastLinesLimit{1000};
constexpr std::chrono::seconds ratePeriod{1};

} // namespace

LogQueue::LogQueue(LogQueueSettings settings, Sink sink, Clock clock, DropReport dropReport)
    : m_settings(settings), m_clock(std::move(clock)), m_state(std::make_shared<State>())
{
    m_thread = std::thread(
        [state = m_state, batchInterval = m_settings.batchInterval, sink = std::move(sink),
         dropReport = std::move(dropReport)] { run(state, batchInterval, sink, dropReport); });
}

LogQueue::~LogQueue()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->stopping = true;
    }
    m_state->changed.notify_all();
    if (drain(lastLinesLimit))
        m_thread.join();
    else
        m_thread.detach();
}

bool LogQueue::admit(std::string_view kind)
{
    const TimePoint now = m_clock();
    const std::lock_guard lock(m_state->mutex);
    auto found = m_state->kinds.find(kind);
    if (found == m_state->kinds.end())
        found = m_state->kinds.emplace(std::string(kind), Kind{}).first;
    Kind &entry = found->second;
    if (now >= entry.second + ratePeriod) {
        entry.second = now;
        entry.lines = 0;
    }
    if (entry.lines < m_settings.linesPerSecond
        && m_state->lines.size() < m_settings.maximumLines) {
        ++entry.lines;
        return true;
    }
    ++entry.dropped;
    ++m_state->dropped;
    return false;
}

void LogQueue::add(std::string line)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->lines.push_back(std::move(line));
    // The thread gathers lines before it writes, so only the first one wakes it.
    if (m_state->lines.size() == 1)
        m_state->changed.notify_all();
}

bool LogQueue::drain(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_state->mutex);
    return m_state->changed.wait_for(
        lock, limit, [this] { return m_state->lines.empty() && !m_state->writing; });
}

std::uint64_t LogQueue::droppedLines() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->dropped;
}

std::vector<std::string> LogQueue::takeLines(State &state, const DropReport &dropReport)
{
    std::vector<std::string> lines(std::make_move_iterator(state.lines.begin()),
                                   std::make_move_iterator(state.lines.end()));
    state.lines.clear();
    for (auto &[kind, entry] : state.kinds) {
        if (const auto count = std::exchange(entry.dropped, 0); count > 0)
            lines.push_back(dropReport(kind, count));
    }
    return lines;
}

void LogQueue::run(const std::shared_ptr<State> &state, std::chrono::milliseconds batchInterval,
                   const Sink &sink, const DropReport &dropReport)
{
    std::unique_lock lock(state->mutex);
    while (true) {
        state->changed.wait(lock, [&] { return state->stopping || !state->lines.empty(); });
        if (!state->stopping)
            state->changed.wait_for(lock, batchInterval, [&] { return state->stopping; });
        const auto lines = takeLines(*state, dropReport);
        if (lines.empty() && state->stopping)
            return;
        state->writing = true;
        lock.unlock();
        sink(lines);
        lock.lock();
        state->writing = false;
        state->changed.notify_all();
    }
}

} // namespace Peridot
