#include "Measurement.h"
#include "RolloutModel.h"

#include <algorithm>
#include <fmt/core.h>

namespace Peridot {

namespace {

constexpr double targetRatio = 1.2;
constexpr unsigned failedHosts = 3; // 5% of 50, rounded up
constexpr std::uint64_t seeds = 5;

/// Duration of a wave against its lower bound, with one host at a time and name order as baselines.
class RolloutMeasurement final : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override;

private:
    static void runCase(const char *policy, RolloutOptions options, bool target);
};

void RolloutMeasurement::runCase(const char *policy, RolloutOptions options, bool target)
{
    const bool failing = options.failures > 0;
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= (failing && target ? seeds : 1); ++seed) {
        options.seed = seed;
        const auto result = RolloutModel(options).run();
        const double ratio = result.seconds / result.lowerBoundSeconds;
        worst = std::max(worst, ratio);
        fmt::print("measure=rollout deployment={} policy={} failing_hosts={} seed={} finished={} "
                   "seconds={:.1f} lower_bound_s={:.1f} ratio={:.3f} "
                   "outage_bound_s={:.1f} outage_ratio={:.3f} most_unavailable_in_pool={} "
                   "most_racks={} tasks={} task_moves={} cut_tasks={}\n",
                   options.deployment.name, policy, options.failures, seed, result.finished,
                   result.seconds, result.lowerBoundSeconds, ratio, result.outageBoundSeconds,
                   result.seconds / result.outageBoundSeconds, result.mostUnavailable,
                   result.mostRacks, result.tasks, result.taskMoves, result.cutTasks);
    }
    if (target)
        fmt::print("measure=rollout deployment={} policy={} failing_hosts={} worst_ratio={:.3f} "
                   "target_ratio={} met={}\n",
                   options.deployment.name, policy, options.failures, worst, targetRatio,
                   worst <= targetRatio);
}

int RolloutMeasurement::run(const std::vector<std::string> & /*arguments*/)
{
    for (const auto &deployment : fleetDeployments()) {
        for (const unsigned failures : {0U, failedHosts}) {
            runCase("peridot", {deployment, WaveOrder::FailureDomain, false, failures}, true);
            runCase("name-order", {deployment, WaveOrder::Name, false, failures}, false);
            runCase("one-host-at-a-time", {deployment, WaveOrder::Name, true, failures}, false);
        }
    }
    return 0;
}

const PluginRegistrar<MeasurementRegistry> registrar("rollout", [] {
    return std::make_unique<RolloutMeasurement>();
});

} // namespace

} // namespace Peridot
