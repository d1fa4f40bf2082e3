#pragma once

#include <Kernel/Jobs/Worker.h>
#include <LibBase/PluginRegistry.h>
#include <map>
#include <vector>

namespace Peridot::Jobs {

/// A worker that may get a run: it accepts runs, has the room and the label, and the step's limit
/// leaves a place on it.
struct PlacementCandidate
{
    Worker *worker = nullptr;
    unsigned runsOfStep = 0; ///< active tasks of the step that run there already
};

/// Chooses the worker of one task.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;
    /// Index of the chosen candidate; \a candidates is not empty.
    virtual std::size_t choose(const StepSpecification &step,
                               const std::vector<PlacementCandidate> &candidates) const = 0;
};

using PlacementPolicyRegistry = PluginRegistry<PlacementPolicy>;

} // namespace Peridot::Jobs
