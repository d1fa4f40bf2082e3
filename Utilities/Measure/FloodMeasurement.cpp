#include "Measurement.h"
#include "Quantile.h"
#include "RequestDeployment.h"

#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <iostream>

namespace Peridot {

namespace {

/// Part of all slots that the base load keeps busy, split evenly between the services.
constexpr double baseLoad = 0.7;
constexpr double floodFactor = 5;
constexpr double goodputTarget = 0.99;
constexpr double p99Target = 2;
constexpr double busyTarget = 0.95;

struct FloodFigures
{
    double goodput = 1; ///< lowest ratio to the run without flood over the other services
    double p99 = 0; ///< highest ratio to the run without flood over the other services
};

FloodFigures compare(const RequestDeployment &deployment, const RequestSimulation &base,
                     const RequestSimulation &flood)
{
    FloodFigures figures;
    for (std::size_t service = 0; service < deployment.services.size(); ++service) {
        if (std::string_view(deployment.services[service].first) == deployment.floodingService)
            continue;
        const SimulatedResult &before = base.results[service];
        const SimulatedResult &during = flood.results[service];
        figures.goodput = std::min(figures.goodput, static_cast<double>(during.answered)
                                                        / static_cast<double>(before.answered));
        figures.p99 = std::max(figures.p99,
                               quantile(during.seconds, 0.99) / quantile(before.seconds, 0.99));
    }
    return figures;
}

std::string measureFloods(const RequestDeployment &deployment, const std::string &policy)
{
    std::string lines;
    SimulationSettings settings = requestSettings(deployment, baseLoad);
    settings.admissionPolicy = policy;
    RequestSimulation base(settings);
    base.run();
    for (const Urgency urgency : {Urgency::Normal, Urgency::Deferrable, Urgency::Urgent}) {
        std::size_t flooding = 0;
        for (std::size_t service = 0; service < settings.services.size(); ++service) {
            if (settings.services[service].name == deployment.floodingService)
                flooding = service;
        }
        SimulationSettings flooded = settings;
        flooded.services[flooding].floodRate = floodFactor * flooded.services[flooding].rate;
        flooded.services[flooding].floodUrgency = urgency;
        RequestSimulation flood(flooded);
        flood.run();
        const FloodFigures figures = compare(deployment, base, flood);
        const SimulatedResult &own = flood.results[flooding];
        const bool met = figures.goodput >= goodputTarget && figures.p99 <= p99Target
                         && flood.busySlots() >= busyTarget;
        lines += fmt::format(
            "measure=flood deployment={} policy={} flood_service={} "
            "flood_urgency={} others_goodput_ratio={:.4f} "
            "others_p99_ratio={:.2f} slots_in_use={:.3f} "
            "slots_in_use_without_flood={:.3f} flood_answered_ratio={:.3f} "
            "peer_messages_per_request={:.3f} "
            "targets_met={}\n",
            deployment.name, policy, deployment.floodingService, urgencyNames.nameOf(urgency),
            figures.goodput, figures.p99, flood.busySlots(), base.busySlots(),
            static_cast<double>(own.answered) / static_cast<double>(own.arrived),
            static_cast<double>(flood.peerMessages()) / static_cast<double>(flood.attempts()),
            met ? "yes" : "no");
    }
    return lines;
}

double answeredPart(const RequestSimulation &simulation)
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    for (const SimulatedResult &result : simulation.results) {
        arrived += result.arrived;
        answered += result.answered;
    }
    return static_cast<double>(answered) / static_cast<double>(arrived);
}

std::string measureRouting(const std::string &routing, double load, double firstProcessPart,
                           int failingServer)
{
    SimulationSettings settings = requestSettings(requestDeployments().front(), load);
    settings.routingPolicy = routing;
    settings.firstProcessPart = firstProcessPart;
    settings.failingServer = failingServer;
    // A claim adds the time of the store to the wait, whatever the routing.
    settings.nonIdempotentPart = 0;
    settings.measured = std::chrono::seconds(5);
    RequestSimulation simulation(settings);
    simulation.run();
    std::string line = fmt::format(
        "measure=routing policy={} load={:.2f} entry_load={} wait_p50_ms={:.2f} wait_p99_ms={:.2f} "
        "largest_overbooking={} idle_slots_while_waiting={:.4f} answered_ratio={:.4f} "
        "peer_messages_per_request={:.3f}",
        routing, load, firstProcessPart > 0 ? "skewed" : "balanced",
        quantile(simulation.waits, 0.5) * 1000, quantile(simulation.waits, 0.99) * 1000,
        simulation.largestOverbooking(), simulation.idleWhileWaiting(), answeredPart(simulation),
        static_cast<double>(simulation.peerMessages())
            / static_cast<double>(simulation.attempts()));
    if (failingServer >= 0)
        line += fmt::format(
            " failing_server=yes attempts_at_failing_ratio={:.5f}",
            static_cast<double>(simulation.attemptsAt(static_cast<unsigned>(failingServer)))
                / static_cast<double>(simulation.attempts()));
    return line + '\n';
}

/// Compares admission policies under a flood of one service, and routing policies.
class FloodMeasurement : public Measurement
{
public:
    int run(const std::vector<std::string> &) override
    {
        const auto begin = std::chrono::steady_clock::now();
        std::cout << fmt::format(
            "measure=flood entry_processes=7 backend_servers=50 slots=400 services=5 base_load={} "
            "flood_factor={} flood_seconds=10 seed={} time=virtual\n",
            baseLoad, floodFactor, measurementSeed);
        std::vector<std::function<std::string()>> jobs;
        for (const RequestDeployment &deployment : requestDeployments()) {
            for (const char *policy : {"fair-share", "fifo", "strict-priority", "fixed-partition"})
                jobs.emplace_back(
                    [&deployment, policy] { return measureFloods(deployment, policy); });
        }
        constexpr double skew = 0.4;
        constexpr double highLoad = 0.9;
        for (const char *routing :
             {"uniform-random", "two-choices", "divided-slots", "lent-slots"}) {
            jobs.emplace_back([=] { return measureRouting(routing, baseLoad, 0, -1); });
            jobs.emplace_back([=] { return measureRouting(routing, highLoad, 0, -1); });
            jobs.emplace_back([=] { return measureRouting(routing, baseLoad, skew, -1); });
            jobs.emplace_back([=] { return measureRouting(routing, baseLoad, 0, 0); });
        }
        runMeasurementJobs(jobs);
        const double elapsed
            = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        std::cout << fmt::format("measure=flood elapsed_seconds={:.1f}\n", elapsed);
        return 0;
    }
};

const PluginRegistrar<MeasurementRegistry> registrar("flood", [] {
    return std::make_unique<FloodMeasurement>();
});

} // namespace

} // namespace Peridot
