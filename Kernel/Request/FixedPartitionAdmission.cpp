#include <Kernel/Request/AdmissionPolicy.h>

#include <algorithm>

namespace Peridot {

namespace {

/// Limits each service to a fixed part of the slots, in proportion to its weight, but at least one.
/// Unused slots are not available to other services.
class FixedPartitionAdmission : public AdmissionPolicy
{
protected:
    Key keyOf(const Service &service) const override
    {
        return {static_cast<double>(service.slotsInUse) / service.weight,
                service.queue.oldestHead()->sequence};
    }

    QueuedRequest *select(TimePoint, Service &service) const override
    {
        return service.queue.mostUrgentHead();
    }

    bool mayTakeSlot(const Service &service) const override
    {
        const double part = m_capacity * service.weight / m_totalWeight;
        return static_cast<double>(service.slotsInUse) < std::max(1.0, part);
    }
};

const PluginRegistrar<AdmissionRegistry> registrar("fixed-partition", [] {
    return std::make_unique<FixedPartitionAdmission>();
});

} // namespace

} // namespace Peridot
