#include <Kernel/Request/ServiceQueue.h>

namespace Peridot {

ServiceQueue::List &ServiceQueue::listOf(const QueuedRequest &request)
{
    return m_lists[static_cast<std::size_t>(request.urgency)];
}

void ServiceQueue::pushBack(QueuedRequest &request)
{
    List &list = listOf(request);
    request.previous = list.last;
    request.next = nullptr;
    (list.last ? list.last->next : list.first) = &request;
    list.last = &request;
    request.queued = true;
    ++m_size;
}

void ServiceQueue::pushFront(QueuedRequest &request)
{
    List &list = listOf(request);
    request.previous = nullptr;
    request.next = list.first;
    (list.first ? list.first->previous : list.last) = &request;
    list.first = &request;
    request.queued = true;
    ++m_size;
}

void ServiceQueue::remove(QueuedRequest &request)
{
    List &list = listOf(request);
    (request.previous ? request.previous->next : list.first) = request.next;
    (request.next ? request.next->previous : list.last) = request.previous;
    request.previous = nullptr;
    request.next = nullptr;
    request.queued = false;
    --m_size;
}

QueuedRequest *ServiceQueue::head(Urgency urgency) const
{
    return m_lists[static_cast<std::size_t>(urgency)].first;
}

QueuedRequest *ServiceQueue::mostUrgentHead() const
{
    for (const List &list : m_lists) {
        if (list.first)
            return list.first;
    }
    return nullptr;
}

QueuedRequest *ServiceQueue::oldestHead() const
{
    QueuedRequest *oldest = nullptr;
    for (const List &list : m_lists) {
        if (list.first && (!oldest || list.first->sequence < oldest->sequence))
            oldest = list.first;
    }
    return oldest;
}

QueuedRequest *ServiceQueue::leastUrgentTail() const
{
    for (auto list = m_lists.rbegin(); list != m_lists.rend(); ++list) {
        if (list->last)
            return list->last;
    }
    return nullptr;
}

} // namespace Peridot
