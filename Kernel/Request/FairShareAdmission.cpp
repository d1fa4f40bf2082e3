#include <Kernel/Request/AdmissionPolicy.h>

namespace Peridot {

namespace {

// Within a service, one turn in this many goes to the request that waits longest, so that urgent
// requests cannot starve deferrable ones.
constexpr std::uint64_t agingTurns = 8;

/// Serves the service furthest below its weighted share of the slots first. Idle slots go to any
/// service that has waiting requests.
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
