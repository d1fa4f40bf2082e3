#include <Kernel/Request/RoutingPolicy.h>

namespace Peridot {

namespace {

/// Chooses each candidate with the same probability.
class UniformRandomRouting : public RoutingPolicy
{
public:
    bool dividesSlots() const override { return false; }
    bool lendsSlots() const override { return false; }

    ServerIndex choose(const std::vector<ServerIndex> &candidates,
                       const std::function<double(ServerIndex)> &,
                       RandomSource &random) const override
    {
        return candidates[random.below(candidates.size())];
    }
};

const PluginRegistrar<RoutingRegistry> registrar("uniform-random", [] {
    return std::make_unique<UniformRandomRouting>();
});

} // namespace

} // namespace Peridot
