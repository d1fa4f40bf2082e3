#include <FleetFake/FleetFixture.h>

#include <LibBase/Random.h>
#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace Peridot {

namespace {

constexpr Resources unlimitedQuota{1e9, 1e9, 100000};
constexpr std::uint16_t firstPort = 20000;

} // namespace

Manifest makeManifest(const FixtureOptions &options)
{
    Manifest manifest;
    for (const auto &name : options.pools) {
        PoolSpecification pool;
        pool.name = name;
        pool.availabilityBudget = options.budget;
        pool.spare = name == options.sparePool;
        manifest.pools.push_back(pool);
    }
    std::vector<unsigned> numbers(options.hosts);
    std::iota(numbers.begin(), numbers.end(), 0U);
    if (options.nameSeed > 0) {
        RandomSource random(options.nameSeed);
        std::shuffle(numbers.begin(), numbers.end(), random.engine());
    }
    const auto racks = (options.hosts + options.hostsPerRack - 1) / options.hostsPerRack;
    for (unsigned index = 0; index < options.hosts; ++index) {
        const auto rack = index / options.hostsPerRack;
        const auto dataCentre = rack * options.dataCentres / std::max(1U, racks);
        // Racks are shared between pools: a failure domain is not the property of one pool.
        const auto &pool = options.pools[index % options.pools.size()];
        manifest.hosts.push_back({fmt::format("h{:05}", numbers[index]), pool,
                                  fmt::format("r{:04}", rack), fmt::format("dc{:02}", dataCentre),
                                  "region", options.capacity});
        for (unsigned server = 0; server < options.backendServersPerHost; ++server)
            manifest.backendServers.push_back(
                {fmt::format("s{:05}-{}", index, server), manifest.hosts.back().name, "127.0.0.1",
                 static_cast<std::uint16_t>(firstPort + manifest.backendServers.size())});
    }
    if (options.backendServersPerHost > 0) {
        for (const auto &pool : options.pools)
            manifest.services.push_back({"service-" + pool, 1.0, std::chrono::seconds(10), {pool}});
    }
    manifest.teams.push_back({"team", unlimitedQuota});
    return manifest;
}

JobSpecification makeJob(const std::string &name, const std::string &pool, unsigned tasks,
                         const Resources &size, Urgency urgency)
{
    JobSpecification job;
    job.name = name;
    job.pool = pool;
    job.team = "team";
    job.urgency = urgency;
    job.tasks = tasks;
    job.taskSize = size;
    return job;
}

} // namespace Peridot
