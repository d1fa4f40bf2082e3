#pragma once

#include <Kernel/Request/ServiceQueue.h>
#include <LibBase/PluginRegistry.h>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Peridot {

/// Decides which waiting request gets a free slot. Implementations are plug-ins, which define the
/// order of the services, the order within a service, and a limit on the slots of a service.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /// Adds a service with index \a service, or changes its weight. Indexes are dense.
    void setService(ServiceIndex service, double weight);
    /// Sets the number of slots that this process can expect to use: its share of all slots.
    void setCapacity(double slots);

    void push(QueuedRequest &request);
    /// Returns a request that was taken to the front of its queue.
    void pushFront(QueuedRequest &request);
    void remove(QueuedRequest &request);
    /// Removes the next request from its queue, among the services for which \a canRun holds.
    /// Returns nullptr when there is none.
    QueuedRequest *take(TimePoint now, const std::function<bool(ServiceIndex)> &canRun);

    void slotTaken(ServiceIndex service);
    void slotReleased(ServiceIndex service);

    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting(ServiceIndex service) const { return m_services[service].queue.size(); }
    std::size_t slotsInUse(ServiceIndex service) const { return m_services[service].slotsInUse; }
    const ServiceQueue &queue(ServiceIndex service) const { return m_services[service].queue; }
    /// Calls \a function for each service that has waiting requests and may take another slot, in
    /// the order in which they are served.
    template <typename Function>
    void forEachWaitingService(Function &&function) const
    {
        for (const auto &[key, service] : m_order) {
            if (mayTakeSlot(m_services[service]))
                function(service);
        }
    }
    /// Share of the slots that belongs to \a service when all services are busy.
    double shareOf(ServiceIndex service) const;

protected:
    /// Sort key of a service: the smallest is served first; the second member breaks ties.
    using Key = std::pair<double, std::uint64_t>;

    struct Service
    {
        ServiceQueue queue;
        double weight = 1.0;
        std::size_t slotsInUse = 0;
        std::uint64_t served = 0; ///< number of requests taken from the queue
        bool ordered = false; ///< in m_order, because requests are waiting
        Key key;
    };

    /// Sort key of a service that has waiting requests.
    virtual Key keyOf(const Service &service) const = 0;
    /// Chooses the next request of a service that has waiting requests.
    virtual QueuedRequest *select(TimePoint now, Service &service) const = 0;
    /// Whether the service is below its limit on slots.
    virtual bool mayTakeSlot(const Service &) const { return true; }

    double m_capacity = 0;
    double m_totalWeight = 0;

private:
    void reorder(ServiceIndex index);

    std::vector<Service> m_services;
    std::set<std::pair<Key, ServiceIndex>> m_order;
    std::size_t m_waiting = 0;
};

using AdmissionRegistry = PluginRegistry<AdmissionPolicy>;

} // namespace Peridot
