#include <Kernel/Request/AdmissionPolicy.h>

namespace Peridot {

namespace {

/// Serves the most urgent requests of all services first, and requests of the same urgency in the
/// order of their arrival. Less urgent requests can starve.
class StrictPriorityAdmission : public AdmissionPolicy
{
protected:
    Key keyOf(const Service &service) const override
    {
        const QueuedRequest *head = service.queue.mostUrgentHead();
        return {static_cast<double>(head->urgency), head->sequence};
    }

    QueuedRequest *select(TimePoint, Service &service) const override
    {
        return service.queue.mostUrgentHead();
    }
};

const PluginRegistrar<AdmissionRegistry> registrar("strict-priority", [] {
    return std::make_unique<StrictPriorityAdmission>();
});

} // namespace

} // namespace Peridot
