#include "RequestDeployment.h"

#include <atomic>
#include <future>
#include <iostream>
#include <thread>

namespace Peridot {

const std::vector<RequestDeployment> &requestDeployments()
{
    using std::chrono::milliseconds;
    static const std::vector<RequestDeployment> list{
        {"kallada",
         std::chrono::microseconds(1000),
         "intake",
         {{"intake", milliseconds(40)},
          {"premises", milliseconds(80)},
          {"renewals", milliseconds(60)},
          {"treasury", milliseconds(30)},
          {"notices", milliseconds(100)}}},
        {"lakaz",
         std::chrono::microseconds(1500),
         "weighing",
         {{"counter", milliseconds(50)},
          {"breakdown", milliseconds(150)},
          {"weighing", milliseconds(30)},
          {"hotel-orders", milliseconds(80)},
          {"back-office", milliseconds(120)}}},
    };
    return list;
}

SimulationSettings requestSettings(const RequestDeployment &deployment, double load)
{
    SimulationSettings settings;
    settings.seed = measurementSeed;
    settings.peerDelay = deployment.peerDelay;
    const double slots = settings.backendServers * settings.slots;
    for (const auto &[name, time] : deployment.services) {
        SimulatedService service;
        service.name = name;
        service.meanTime = time;
        // A slot is also taken for the way to the backend server and back.
        const double held = toSeconds(time) + 2 * toSeconds(deployment.peerDelay);
        service.rate = load * slots / static_cast<double>(deployment.services.size()) / held;
        settings.services.push_back(service);
    }
    return settings;
}

void runMeasurementJobs(const std::vector<std::function<std::string()>> &jobs)
{
    constexpr unsigned threads = 3;
    std::vector<std::promise<std::string>> lines(jobs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> workers;
    for (unsigned worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&] {
            for (std::size_t job = next++; job < jobs.size(); job = next++)
                lines[job].set_value(jobs[job]());
        });
    }
    // A long measurement shows its lines as they are known.
    for (std::promise<std::string> &line : lines)
        std::cout << line.get_future().get() << std::flush;
}

} // namespace Peridot
