#include <Kernel/Request/AdmissionPolicy.h>

namespace Peridot {

namespace {

// Within a service, one of this many requests is chosen by age instead of urgency, so that urgent
// requests cannot starve deferrable ones.
constexpr std::uint64_t agingTurns = 8;

/// Weighted fair sharing: serves the service with the fewest slots in use relative to its weight
/// first. Slots that a service does not use are available to the others.
class FairShareAdmission : public AdmissionPolicy
{
protected:
    Key keyOf(const Service &service) const override
    {
        return {static_cast<double>(service.slotsInUse) / service.weight,
                service.queue.oldestHead()->sequence};
    }

    QueuedRequest *select(TimePoint, Service &service) const override
    {
        if (service.served % agingTurns == agingTurns - 1)
            return service.queue.oldestHead();
        return service.queue.mostUrgentHead();
    }
};

const PluginRegistrar<AdmissionRegistry> registrar("fair-share", [] {
    return std::make_unique<FairShareAdmission>();
});

} // namespace

} // namespace Peridot
