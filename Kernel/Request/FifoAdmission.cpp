#include <Kernel/Request/AdmissionPolicy.h>

namespace Peridot {

namespace {

/// Serves requests in the order of their arrival, regardless of service and urgency. A request for
/// which no backend server has a free slot does not block the others.
class FifoAdmission : public AdmissionPolicy
{
protected:
    Key keyOf(const Service &service) const override
    {
        return {0.0, service.queue.oldestHead()->sequence};
    }

    QueuedRequest *select(TimePoint, Service &service) const override
    {
        return service.queue.oldestHead();
    }
};

const PluginRegistrar<AdmissionRegistry> registrar("fifo", [] {
    return std::make_unique<FifoAdmission>();
});

} // namespace

} // namespace Peridot
