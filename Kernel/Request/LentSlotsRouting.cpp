#include <Kernel/Request/LeastOfTwo.h>

namespace Peridot {

namespace {

/// As divided-slots, and entry processes lend each other their idle slots.
class LentSlotsRouting : public RoutingPolicy
{
public:
    bool dividesSlots() const override { return true; }
    bool lendsSlots() const override { return true; }

    ServerIndex choose(const std::vector<ServerIndex> &candidates,
                       const std::function<double(ServerIndex)> &loadOf,
                       RandomSource &random) const override
    {
        return leastOfTwo(candidates, loadOf, random);
    }
};

const PluginRegistrar<RoutingRegistry> registrar("lent-slots", [] {
    return std::make_unique<LentSlotsRouting>();
});

} // namespace

} // namespace Peridot
