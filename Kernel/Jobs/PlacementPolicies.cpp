#include <Kernel/Jobs/PlacementPolicy.h>

#include <algorithm>
#include <tuple>

namespace Peridot::Jobs {

namespace {

unsigned servingRuns(const Worker &worker)
{
    return static_cast<unsigned>(
        std::count_if(worker.runs.begin(), worker.runs.end(),
                      [](const auto &entry) { return entry.second.latencyTarget.count() > 0; }));
}

/// Packs short tasks, so that hosts become empty and can be maintained or moved, and spreads
/// long-running ones, so that the loss of a host takes few tasks of a step.
class PackAndSpread : public PlacementPolicy
{
public:
    std::size_t choose(const StepSpecification &step,
                       const std::vector<PlacementCandidate> &candidates) const override
    {
        const auto rank = [&](const PlacementCandidate &candidate) {
            const Worker &worker = *candidate.worker;
            const bool far = !step.affinityRack.empty() && !worker.hasLabel(step.affinityRack);
            const std::int64_t free = worker.freeCapacity().milliProcessors;
            // Tasks that fill slow the serving ones beside them.
            const unsigned served = step.bestEffort ? servingRuns(worker) : 0;
            return std::make_tuple(far, served, step.longRunning ? candidate.runsOfStep : 0,
                                   step.longRunning ? -free : free);
        };
        const auto best = std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
        return static_cast<std::size_t>(best - candidates.begin());
    }
};

/// Baseline of measurements: the first worker with room.
class FirstFit : public PlacementPolicy
{
public:
    std::size_t choose(const StepSpecification &,
                       const std::vector<PlacementCandidate> &) const override
    {
        return 0;
    }
};

const PluginRegistrar<PlacementPolicyRegistry> packAndSpread("pack-and-spread", [] {
    return std::make_unique<PackAndSpread>();
});
const PluginRegistrar<PlacementPolicyRegistry> firstFit("first-fit", [] {
    return std::make_unique<FirstFit>();
});

} // namespace

} // namespace Peridot::Jobs
