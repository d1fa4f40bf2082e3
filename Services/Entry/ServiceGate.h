#pragma once

#include <atomic>
#include <cstddef>

namespace Peridot {

/// Limits the open requests of one service, so that the server threads can refuse excessive
/// requests without the dispatcher. The kernel additionally enforces the exact queue limit.
class ServiceGate
{
public:
    void setLimit(std::size_t limit) { m_limit.store(limit, std::memory_order_relaxed); }

    bool tryEnter()
    {
        if (m_open.fetch_add(1, std::memory_order_relaxed)
            < m_limit.load(std::memory_order_relaxed))
            return true;
        leave();
        return false;
    }

    void leave() { m_open.fetch_sub(1, std::memory_order_relaxed); }

    std::size_t open() const { return m_open.load(std::memory_order_relaxed); }

private:
    std::atomic<std::size_t> m_open{0};
    std::atomic<std::size_t> m_limit{0};
};

} // namespace Peridot
