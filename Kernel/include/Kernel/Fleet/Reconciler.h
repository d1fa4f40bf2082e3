#pragma once

#include <Kernel/Fleet/HostReport.h>
#include <LibBase/PluginRegistry.h>
#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibStore/Transaction.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Peridot {

class FleetView;

/// A lease that this process holds, with an end that is conservative by its own clock.
struct HeldLease
{
    std::string name;
    std::uint64_t fencingEpoch = 0;
    Version rowVersion = absentVersion; ///< version of the row lease/<name>, checked by every write
    TimePoint end;
};

struct PlanContext
{
    TimePoint now;
    std::string instance;
    std::map<std::string, HeldLease> leases; ///< by lease name; pools use "pool-<name>"
    RandomSource *random = nullptr;
};

struct FleetPlan
{
    std::vector<Transaction> transactions; ///< independent of each other; each may conflict
    std::vector<WorkerCommand>
        commands; ///< idempotent; sent again until the reports show the effect
};

/// One control loop of the fleet process. plan() is a pure function of the view and the context: it
/// compares the desired state with the rows and reports, and proposes the next conditional steps.
/// After a crash, a lost answer or a lost lease, planning starts again from newly read rows.
class Reconciler
{
public:
    virtual ~Reconciler() = default;
    virtual FleetPlan plan(const FleetView &view, const PlanContext &context) = 0;
};

using ReconcilerRegistry = PluginRegistry<Reconciler>;

} // namespace Peridot
