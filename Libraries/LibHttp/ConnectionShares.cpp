#include "ConnectionShares.h"

#include <utility>

namespace Peridot {

ConnectionShares::ConnectionShares(unsigned threads, unsigned rotation)
    : m_rotation(rotation % threads), m_open(threads)
{
}

unsigned ConnectionShares::share(unsigned thread) const
{
    const auto threads = static_cast<unsigned>(m_open.size());
    const unsigned position = (thread + m_rotation) % threads;
    return m_limit / threads + (position < m_limit % threads ? 1 : 0);
}

std::optional<unsigned> ConnectionShares::choose(const std::vector<unsigned> &openByThread) const
{
    std::optional<unsigned> best;
    for (unsigned thread = 0; thread < m_open.size(); ++thread) {
        if (m_open[thread] >= share(thread))
            continue;
        if (!best
            || std::pair(m_open[thread], openByThread[thread])
                   < std::pair(m_open[*best], openByThread[*best]))
            best = thread;
    }
    return best;
}

void ConnectionShares::opened(unsigned thread)
{
    ++m_open[thread];
    ++m_openTotal;
}

void ConnectionShares::ended(unsigned thread)
{
    --m_open[thread];
    --m_openTotal;
}

} // namespace Peridot
