#pragma once

#include <FleetFake/FleetDriver.h>
#include <json/value.h>

namespace Peridot {

/// Checks the invariants of the fleet against the raw rows and the fake workers. Uses no code of
/// the kernel, so that a fault in the kernel cannot hide itself.
class FleetChecker
{
public:
    FleetChecker(const Manifest &manifest, const FakeTable &table, FakeFleet &fleet);

    /// Returns an empty string when all invariants hold, otherwise the first violation.
    std::string check(TimePoint now);

    /// Updates the budgets, quotas, task sizes, back-end servers and number of hosts that the
    /// checks use from \a manifest.
    void setManifest(const Manifest &manifest);

private:
    using Rows = std::map<std::string, std::shared_ptr<const Json::Value>>;

    Rows rows(const std::string &prefix);
    void recordWorkerStates(TimePoint now);
    std::string checkLedgers(const Rows &hosts, const Rows &pools) const;
    std::string checkNewPermits(const Rows &hosts, const Rows &pools, TimePoint now) const;
    std::string checkDrainTimes(const Rows &hosts, TimePoint now);
    std::string checkNewPlacements(const Rows &hosts);
    std::string checkQuotas();
    std::string checkWorkers();

    std::map<std::string, unsigned> m_budgets;
    std::map<std::string, Resources> m_quotas;
    std::map<std::string, Resources> m_taskSizes; ///< Declared task sizes by job.
    /// Limit of commanded reboots of a host: one for each maintenance generation.
    unsigned m_allowedReboots = 1;
    std::map<std::string, bool> m_hasBackendServer;
    std::size_t m_hostCount = 0;
    /// Set once every host of the manifest has a row; the number of rows must not change
    /// afterwards.
    bool m_allHostsRegistered = false;
    const FakeTable &m_table;
    FakeFleet &m_fleet;
    /// Parsed rows with their versions, by key.
    std::map<std::string, std::pair<Version, std::shared_ptr<const Json::Value>>> m_parsedRows;
    Version m_checkedRevision = 0;
    Rows m_previousPools;
    std::map<std::string, TimePoint> m_drainStart;
    std::map<std::string, TimePoint> m_unreachableSince;
    std::map<std::string, unsigned> m_finishCounts;
    std::map<std::string, std::uint64_t> m_lastEpochs; ///< Last seen epoch by task.
};

} // namespace Peridot
