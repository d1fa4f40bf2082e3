#include <Kernel/Fleet/PlacementPolicy.h>

#include <algorithm>
#include <tuple>

namespace Peridot {

namespace {

// Allowance for the rounding of sums of reservations, in cores and in GB.
constexpr double roundingAllowance = 1e-6;

unsigned countOf(const std::map<std::string, unsigned> &counts, const std::string &key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

/// Sum of the shares of processors and memory that stay free after the task is placed on the host.
double freeShareAfter(const Resources &size, const HostCandidate &candidate)
{
    const auto &capacity = candidate.host->specification->capacity;
    return (candidate.free.processors - size.processors) / capacity.processors
           + (candidate.free.memoryGigabytes - size.memoryGigabytes) / capacity.memoryGigabytes;
}

class FirstFit final : public PlacementPolicy
{
public:
    std::optional<std::size_t> choose(const PlacementRequest &request,
                                      const std::vector<HostCandidate> &candidates) const override
    {
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (fits(request.size, candidates[index].free))
                return index;
        }
        return std::nullopt;
    }
};

class BestFit final : public PlacementPolicy
{
public:
    std::optional<std::size_t> choose(const PlacementRequest &request,
                                      const std::vector<HostCandidate> &candidates) const override
    {
        std::optional<std::size_t> best;
        double bestFreeShare = 0;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (!fits(request.size, candidates[index].free))
                continue;
            const double remaining = freeShareAfter(request.size, candidates[index]);
            if (!best || remaining < bestFreeShare) {
                best = index;
                bestFreeShare = remaining;
            }
        }
        return best;
    }
};

/// Prefers, in this order: hosts on which the task has not failed, hosts of the pool to borrowed
/// ones, hosts that the wave will not drain, hosts, racks and data centres with few tasks of the
/// job, hosts without free accelerators for tasks that need none, and the tightest fit.
class PeridotPlacement final : public PlacementPolicy
{
public:
    std::optional<std::size_t> choose(const PlacementRequest &request,
                                      const std::vector<HostCandidate> &candidates) const override
    {
        std::optional<std::size_t> best;
        Rank bestRank;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (!fits(request.size, candidates[index].free))
                continue;
            const auto rank = rankOf(request, candidates[index]);
            if (!best || rank < bestRank) {
                best = index;
                bestRank = rank;
            }
        }
        return best;
    }

    bool sharesBuffer() const override { return true; }
    bool throttles() const override { return true; }

private:
    using Rank = std::tuple<bool, bool, bool, unsigned, unsigned, unsigned, bool, double>;

    static Rank rankOf(const PlacementRequest &request, const HostCandidate &candidate)
    {
        const auto &record = *candidate.host->record;
        const bool wastesAccelerators
            = request.size.accelerators == 0 && candidate.free.accelerators > 0;
        const auto &avoided = request.avoidedHosts;
        const bool isAvoided
            = std::find(avoided.begin(), avoided.end(), candidate.name) != avoided.end();
        Rank rank{isAvoided,
                  candidate.borrowed,
                  candidate.dueForMaintenance,
                  0,
                  0,
                  0,
                  wastesAccelerators,
                  freeShareAfter(request.size, candidate)};
        if (!request.jobTasksByHost.empty()) {
            std::get<3>(rank) = countOf(request.jobTasksByHost, candidate.name);
            std::get<4>(rank)
                = countOf(request.jobTasksByRack, record.dataCentre + "/" + record.rack);
            std::get<5>(rank) = countOf(request.jobTasksByDataCentre, record.dataCentre);
        }
        return rank;
    }
};

const PluginRegistrar<PlacementPolicyRegistry> firstFit("first-fit", [] {
    return std::make_unique<FirstFit>();
});
const PluginRegistrar<PlacementPolicyRegistry> bestFit("best-fit",
                                                       [] { return std::make_unique<BestFit>(); });
const PluginRegistrar<PlacementPolicyRegistry> peridot("peridot", [] {
    return std::make_unique<PeridotPlacement>();
});

} // namespace

bool fits(const Resources &size, const Resources &free)
{
    return size.processors <= free.processors + roundingAllowance
           && size.memoryGigabytes <= free.memoryGigabytes + roundingAllowance
           && size.accelerators <= free.accelerators;
}

} // namespace Peridot
