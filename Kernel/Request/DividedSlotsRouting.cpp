#include <Kernel/Request/LeastOfTwo.h>

namespace Peridot {

namespace {

/// Chooses the less loaded of two random backend servers on which this process owns a free slot.
class DividedSlotsRouting : public RoutingPolicy
{
public:
    bool dividesSlots() const override { return true; }
    bool lendsSlots() const override { return false; }

    ServerIndex choose(const std::vector<ServerIndex> &candidates,
                       const std::function<double(ServerIndex)> &loadOf,
                       RandomSource &random) const override
    {
        return leastOfTwo(candidates, loadOf, random);
    }
};

const PluginRegistrar<RoutingRegistry> registrar("divided-slots", [] {
    return std::make_unique<DividedSlotsRouting>();
});

} // namespace

} // namespace Peridot
