#pragma once

#include <Kernel/Fleet/Manifest.h>

namespace Peridot {

struct FixtureOptions
{
    std::vector<std::string> pools = {"a", "b"};
    std::string sparePool; ///< one of \c pools, or empty
    unsigned hosts = 8; ///< over all pools, in turn
    unsigned hostsPerRack = 4;
    unsigned dataCentres = 1;
    unsigned budget = 2;
    Resources capacity = {8, 32, 0};
    unsigned backendServersPerHost = 0;
    std::uint64_t nameSeed = 0; ///< above 0: names do not follow racks
};

/// Manifest with one team "team" of unlimited quota, one service a pool when there are backend
/// servers, and no jobs. Hosts are "h00000", "h00001" and so on; consecutive hosts share a rack and
/// alternate between the pools.
Manifest makeManifest(const FixtureOptions &options);

JobSpecification makeJob(const std::string &name, const std::string &pool, unsigned tasks,
                         const Resources &size, Urgency urgency = Urgency::Normal);

} // namespace Peridot
