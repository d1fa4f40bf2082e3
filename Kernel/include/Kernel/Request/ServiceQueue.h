#pragma once

#include <Kernel/Request/QueuedRequest.h>
#include <array>
#include <cstddef>

namespace Peridot {

/// Waiting requests of one service: one first-in-first-out list for each urgency.
class ServiceQueue
{
public:
    void pushBack(QueuedRequest &request);
    void pushFront(QueuedRequest &request);
    void remove(QueuedRequest &request);

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    QueuedRequest *head(Urgency urgency) const;
    /// Head of the most urgent list that is not empty.
    QueuedRequest *mostUrgentHead() const;
    /// Head that arrived first.
    QueuedRequest *oldestHead() const;
    /// The request that arrived last among those of the least urgent list that is not empty.
    QueuedRequest *leastUrgentTail() const;

private:
    struct List
    {
        QueuedRequest *first = nullptr;
        QueuedRequest *last = nullptr;
    };

    List &listOf(const QueuedRequest &request);

    std::array<List, urgencyCount> m_lists;
    std::size_t m_size = 0;
};

} // namespace Peridot
