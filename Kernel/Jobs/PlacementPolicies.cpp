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

/// Packs short tasks on few workers, so that other hosts become empty and can be maintained or
/// moved. Spreads long-running tasks, so that the loss of a host affects few tasks of a step.
class PackAndSpread : public PlacementPolicy
{
public:
    std::size_t choose(const StepSpecification &step,
                       const std::vector<PlacementCandidate> &candidates) const override
    {
        const auto rank = [&](const PlacementCandidate &candidate) {
            const Worker &worker = *candidate.worker;
            const bool outsideAffinityRack
                = !step.affinityRack.empty() && !worker.hasLabel(step.affinityRack);
            const std::int64_t free = worker.freeCapacity().milliProcessors;
            // Best-effort tasks slow down serving tasks on the same worker.
            const unsigned serving = step.bestEffort ? servingRuns(worker) : 0;
            return std::make_tuple(outsideAffinityRack, serving,
                                   step.longRunning ? candidate.runsOfStep : 0,
                                   step.longRunning ? -free : free);
        };
        const auto best = std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
        return static_cast<std::size_t>(best - candidates.begin());
    }
};

/// Chooses the first candidate. Baseline for measurements of other policies.
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
