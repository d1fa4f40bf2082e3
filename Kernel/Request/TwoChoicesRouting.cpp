#include <Kernel/Request/LeastOfTwo.h>

namespace Peridot {

namespace {

/// Chooses the less loaded of two random backend servers. The load counts only the attempts of this
/// process.
class TwoChoicesRouting : public RoutingPolicy
{
public:
    bool dividesSlots() const override { return false; }
    bool lendsSlots() const override { return false; }

    ServerIndex choose(const std::vector<ServerIndex> &candidates,
                       const std::function<double(ServerIndex)> &loadOf,
                       RandomSource &random) const override
    {
        return leastOfTwo(candidates, loadOf, random);
    }
};

const PluginRegistrar<RoutingRegistry> registrar("two-choices", [] {
    return std::make_unique<TwoChoicesRouting>();
});

} // namespace

} // namespace Peridot
