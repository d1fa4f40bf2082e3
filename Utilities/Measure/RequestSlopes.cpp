#include "Measurement.h"

#include <Kernel/Request/RequestKernel.h>
#include <ctime>
#include <fmt/format.h>
#include <iostream>
#include <malloc.h>

namespace Peridot {

namespace {

constexpr unsigned slotsPerServer = 8;

TimePoint startTime()
{
    return fromUnixMilliseconds(1'700'000'000'000);
}

std::unique_ptr<RequestKernel> makeKernel(unsigned servers, unsigned services,
                                          std::size_t queueLimit)
{
    auto table = std::make_shared<RoutingTable>();
    table->version = 1;
    for (unsigned service = 0; service < services; ++service)
        table->services.push_back({fmt::format("service-{}", service)});
    for (unsigned server = 0; server < servers; ++server) {
        BackendServerRoute route;
        route.name = fmt::format("backend-{}", server);
        route.slots = slotsPerServer;
        for (const ServiceRoute &service : table->services)
            route.services.push_back(service.name);
        table->backendServers.push_back(route);
    }
    RequestKernelSettings settings;
    settings.instance = "entry-0";
    settings.queueLimit = queueLimit;
    auto kernel = RequestKernel::create(settings).value();
    kernel->leaseChanged(startTime(), startTime() + std::chrono::hours(24));
    kernel->membersChanged(startTime(), {1, {settings.instance}});
    kernel->routingTableChanged(startTime(), table);
    return kernel;
}

RequestDescription describe(RequestToken token, unsigned service, TimePoint now)
{
    RequestDescription request;
    request.token = token;
    request.service = fmt::format("service-{}", service);
    request.idempotent = true;
    request.arrival = now;
    request.deadline = now + std::chrono::minutes(10);
    return request;
}

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// CPU time of one request from arrival to answer while half of the slots are busy.
double secondsPerRequest(unsigned servers)
{
    constexpr unsigned services = 5;
    constexpr unsigned requests = 300'000;
    const auto kernel = makeKernel(servers, services, 2000);
    TimePoint now = startTime();
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = 200;
    std::vector<std::uint64_t> inFlight(std::max(1u, servers * slotsPerServer / 2), 0);
    double begin = 0;
    for (RequestToken token = 1; token <= requests; ++token) {
        // The first round fills the slots and is not measured.
        if (token == inFlight.size() + 1)
            begin = cpuSeconds();
        now += std::chrono::microseconds(20);
        std::uint64_t &attempt = inFlight[token % inFlight.size()];
        if (attempt != 0)
            kernel->attemptFinished(now, attempt, AttemptStatus::Answered, answer);
        kernel->requestArrived(now, describe(token, static_cast<unsigned>(token % services), now));
        for (const RequestAction &action : kernel->takeActions()) {
            if (const auto *start = std::get_if<StartAttempt>(&action))
                attempt = start->attempt;
        }
    }
    return (cpuSeconds() - begin) / static_cast<double>(requests - inFlight.size());
}

/// CPU time of one answered request and its successor while \a waiting requests wait.
double secondsPerQueuedRequest(std::size_t waiting, double &bytes)
{
    constexpr unsigned requests = 100'000;
    const auto kernel = makeKernel(1, 1, waiting + 10);
    TimePoint now = startTime();
    std::vector<std::uint64_t> inFlight;
    const auto takeStarted = [&] {
        for (const RequestAction &action : kernel->takeActions()) {
            if (const auto *start = std::get_if<StartAttempt>(&action))
                inFlight.push_back(start->attempt);
        }
    };
    RequestToken token = 0;
    const auto before = mallinfo2().uordblks;
    while (token < waiting + slotsPerServer) {
        kernel->requestArrived(now, describe(++token, 0, now));
        takeStarted();
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(waiting);
    const double begin = cpuSeconds();
    for (unsigned count = 0; count < requests; ++count) {
        now += std::chrono::microseconds(20);
        const std::uint64_t attempt = inFlight[count];
        kernel->attemptFinished(now, attempt, AttemptStatus::Answered, nullptr);
        kernel->requestArrived(now, describe(++token, 0, now));
        takeStarted();
    }
    return (cpuSeconds() - begin) / requests;
}

/// CPU time and memory of the request kernel at three sizes a decade apart.
class RequestSlopes : public Measurement
{
public:
    int run(const std::vector<std::string> &) override
    {
        for (const unsigned servers : {50u, 500u, 5000u}) {
            const auto before = mallinfo2().uordblks;
            const auto kernel = makeKernel(servers, 5, 2000);
            const double memory = static_cast<double>(mallinfo2().uordblks - before);
            std::cout << fmt::format("measure=request-slopes backend_servers={} "
                                     "cpu_microseconds_per_request={:.2f} kernel_kib={:.0f} "
                                     "kernel_bytes_per_server={:.0f}\n",
                                     servers, secondsPerRequest(servers) * 1e6, memory / 1024,
                                     memory / servers);
        }
        for (const std::size_t waiting : {1000u, 10'000u, 100'000u}) {
            double bytes = 0;
            const double seconds = secondsPerQueuedRequest(waiting, bytes);
            std::cout << fmt::format("measure=request-slopes waiting_requests={} "
                                     "cpu_microseconds_per_request={:.2f} "
                                     "bytes_per_waiting_request={:.0f}\n",
                                     waiting, seconds * 1e6, bytes);
        }
        return 0;
    }
};

const PluginRegistrar<MeasurementRegistry> registrar("request-slopes", [] {
    return std::make_unique<RequestSlopes>();
});

} // namespace

} // namespace Peridot
