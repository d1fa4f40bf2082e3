#pragma once

#include <Kernel/Fleet/FleetView.h>
#include <Kernel/Fleet/Reconciler.h>
#include <LibBase/PluginRegistry.h>
#include <optional>
#include <vector>

namespace Peridot {

/// Host that may receive tasks in one planning pass.
struct HostCandidate
{
    std::string name;
    const FleetView::Host *host = nullptr;
    Resources free; ///< capacity less the reservations, including those of this pass
    bool borrowed = false; ///< belongs to the spare pool
    bool dueForMaintenance = false; ///< will be drained by the current wave
};

/// A task to be placed, and the hosts of the other tasks of its job.
struct PlacementRequest
{
    Resources size;
    Urgency urgency = Urgency::Normal;
    /// Hosts on which the task failed. They are used only when no other host fits.
    std::vector<std::string> avoidedHosts;
    std::map<std::string, unsigned> jobTasksByHost;
    std::map<std::string, unsigned> jobTasksByRack; ///< key: data centre and rack
    std::map<std::string, unsigned> jobTasksByDataCentre;
};

/// Chooses the host of one task.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Index of the chosen candidate, or nothing when none fits.
    virtual std::optional<std::size_t>
    choose(const PlacementRequest &request, const std::vector<HostCandidate> &candidates) const = 0;

    /// Whether the pools share one buffer in the spare pool. Otherwise each pool has its own.
    virtual bool sharesBuffer() const { return false; }

    /// Whether less urgent tasks are throttled to free capacity, where that is sufficient.
    virtual bool throttles() const { return false; }
};

using PlacementPolicyRegistry = PluginRegistry<PlacementPolicy>;

/// Whether \a size fits into \a free, with an allowance for rounding.
bool fits(const Resources &size, const Resources &free);

/// Creates the reconciler that supervises and places tasks, with the named policy. The registered
/// reconciler "placement" uses "peridot". Errors: UnknownPlugin.
Result<std::unique_ptr<Reconciler>> makePlacementReconciler(const std::string &policy);

} // namespace Peridot
