#include <Kernel/Request/AdmissionPolicy.h>

#include <algorithm>

namespace Peridot {

namespace {

// Lower bound of a weight, so that the sort key of a service, which divides by the weight, is
// always defined. Services that are no longer in the routing table have this weight.
constexpr double minimumWeight = 1e-6;

} // namespace

void AdmissionPolicy::setService(ServiceIndex service, double weight)
{
    if (service >= m_services.size())
        m_services.resize(service + 1);
    m_services[service].weight = std::max(weight, minimumWeight);
    m_totalWeight = 0;
    for (const Service &entry : m_services)
        m_totalWeight += entry.weight;
    for (ServiceIndex index = 0; index < m_services.size(); ++index)
        reorder(index);
}

void AdmissionPolicy::setCapacity(double slots)
{
    m_capacity = slots;
}

double AdmissionPolicy::shareOf(ServiceIndex service) const
{
    return m_totalWeight > 0 ? m_capacity * m_services[service].weight / m_totalWeight : 0;
}

void AdmissionPolicy::push(QueuedRequest &request)
{
    m_services[request.service].queue.pushBack(request);
    ++m_waiting;
    reorder(request.service);
}

void AdmissionPolicy::pushFront(QueuedRequest &request)
{
    m_services[request.service].queue.pushFront(request);
    ++m_waiting;
    reorder(request.service);
}

void AdmissionPolicy::remove(QueuedRequest &request)
{
    m_services[request.service].queue.remove(request);
    --m_waiting;
    reorder(request.service);
}

QueuedRequest *AdmissionPolicy::take(TimePoint now, const std::function<bool(ServiceIndex)> &canRun)
{
    for (const auto &[key, index] : m_order) {
        Service &service = m_services[index];
        if (!mayTakeSlot(service) || !canRun(index))
            continue;
        QueuedRequest *request = select(now, service);
        ++service.served;
        remove(*request);
        return request;
    }
    return nullptr;
}

void AdmissionPolicy::slotTaken(ServiceIndex service)
{
    ++m_services[service].slotsInUse;
    reorder(service);
}

void AdmissionPolicy::slotReleased(ServiceIndex service)
{
    --m_services[service].slotsInUse;
    reorder(service);
}

void AdmissionPolicy::reorder(ServiceIndex index)
{
    Service &service = m_services[index];
    if (service.ordered)
        m_order.erase({service.key, index});
    service.ordered = !service.queue.empty();
    if (!service.ordered)
        return;
    service.key = keyOf(service);
    m_order.insert({service.key, index});
}

} // namespace Peridot
