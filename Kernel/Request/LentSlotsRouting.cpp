#include <Kernel/Request/LeastOfTwo.h>

namespace Peridot {

namespace {

/// Like divided-slots, but entry processes also lend their idle slots to each other.
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
