#pragma once

#include <Kernel/Jobs/Worker.h>
#include <LibBase/PluginRegistry.h>
#include <map>
#include <vector>

namespace Peridot::Jobs {

/// A worker that can be given a run: it accepts runs, has the required label and enough free
/// capacity, and runs fewer tasks of the step than the step's limit for each worker.
struct PlacementCandidate
{
    Worker *worker = nullptr;
    unsigned runsOfStep = 0; ///< active tasks of the step on the worker
};

/// Chooses the worker of one task.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;
    /// Returns the index of the chosen candidate; \a candidates is not empty.
    virtual std::size_t choose(const StepSpecification &step,
                               const std::vector<PlacementCandidate> &candidates) const = 0;
};

using PlacementPolicyRegistry = PluginRegistry<PlacementPolicy>;

} // namespace Peridot::Jobs
