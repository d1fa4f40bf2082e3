#include "Measurement.h"
#include "PlacementModel.h"

#include <algorithm>
#include <fmt/core.h>

namespace Peridot {

namespace {

constexpr double bufferTarget = 1.10;
constexpr double movesTarget = 1.1;
constexpr double urgentTargetSeconds = 1.3;
constexpr std::uint64_t seed = 3;
constexpr double loadDuringWave = 0.6;
constexpr unsigned movedHosts = 5;
constexpr unsigned urgentTasks = 60;

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

/// Buffer, moves and start of urgent work of each placement policy.
class PlacementMeasurement final : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override;

private:
    static void measureBuffer(const FleetDeployment &deployment, const std::string &policy);
    static void measureMoves(const FleetDeployment &deployment, const std::string &policy);
    static void measureUrgent(const FleetDeployment &deployment, const std::string &policy);
};

void PlacementMeasurement::measureBuffer(const FleetDeployment &deployment,
                                         const std::string &policy)
{
    PlacementModel model(deployment, policy, seed);
    const double buffer = model.bufferInHosts();
    const bool survives = model.survivesRackFailure();
    const auto bound = std::max(deployment.options.hostsPerRack, deployment.options.budget);
    const double ratio = buffer / bound;
    fmt::print("measure=placement table=buffer deployment={} policy={} buffer_hosts={:.2f} "
               "lower_bound_hosts={} ratio={:.3f} target_ratio={} met={} "
               "rack_failure_tasks_all_placed_again={}\n",
               deployment.name, policy, buffer, bound, ratio, bufferTarget,
               ratio <= bufferTarget && survives, survives);
}

void PlacementMeasurement::measureMoves(const FleetDeployment &deployment,
                                        const std::string &policy)
{
    PlacementModel model(deployment, policy, seed);
    model.fill(loadDuringWave, Urgency::Normal);
    const auto moves = model.movesOfWave(movedHosts);
    const double taskRatio = static_cast<double>(moves.taskMoves) / std::max(1U, moves.tasks);
    const double hostRatio = static_cast<double>(moves.hostMoves) / std::max(1U, moves.hosts);
    fmt::print("measure=placement table=moves deployment={} policy={} tasks={} task_moves={} "
               "fewest_task_moves={} task_ratio={:.3f} host_moves={} fewest_host_moves={} "
               "host_ratio={:.3f} target_ratio={} met={}\n",
               deployment.name, policy, moves.tasks, moves.taskMoves, moves.tasks, taskRatio,
               moves.hostMoves, moves.hosts, hostRatio, movesTarget,
               taskRatio <= movesTarget && hostRatio <= movesTarget);
}

void PlacementMeasurement::measureUrgent(const FleetDeployment &deployment,
                                         const std::string &policy)
{
    PlacementModel model(deployment, policy, seed);
    model.fill(0.5, Urgency::Normal);
    model.fill(1.0, Urgency::Deferrable);
    const auto starts = model.startUrgent(urgentTasks);
    const double worst = percentile(starts.seconds, 1.0);
    fmt::print("measure=placement table=urgent deployment={} policy={} urgent_tasks={} missing={} "
               "p50_s={:.3f} p99_s={:.3f} max_s={:.3f} stopped_tasks={} target_s={} met={}\n",
               deployment.name, policy, urgentTasks, starts.missing,
               percentile(starts.seconds, 0.5), percentile(starts.seconds, 0.99), worst,
               starts.stopped, urgentTargetSeconds,
               starts.missing == 0 && worst <= urgentTargetSeconds);
}

int PlacementMeasurement::run(const std::vector<std::string> & /*arguments*/)
{
    for (const auto &deployment : fleetDeployments()) {
        for (const auto *policy : {"peridot", "first-fit", "best-fit"}) {
            measureBuffer(deployment, policy);
            measureMoves(deployment, policy);
            measureUrgent(deployment, policy);
        }
    }
    return 0;
}

const PluginRegistrar<MeasurementRegistry> registrar("placement", [] {
    return std::make_unique<PlacementMeasurement>();
});

} // namespace

} // namespace Peridot
