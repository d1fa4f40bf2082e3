#pragma once

#include <FleetFake/FleetDriver.h>
#include <json/value.h>

namespace Peridot {

/// Checks the invariants from the raw rows and the workers, without code of the kernel.
class FleetChecker
{
public:
    FleetChecker(const Manifest &manifest, const FakeTable &table, FakeFleet &fleet);

    /// Empty when all invariants hold, otherwise the first violation.
    std::string check(TimePoint now);

    /// Pools may grow or change hands; hosts and budgets are taken from here.
    void setManifest(const Manifest &manifest);

private:
    using Rows = std::map<std::string, std::shared_ptr<const Json::Value>>;

    Rows rows(const std::string &prefix);
    void noteWorkers(TimePoint now);
    std::string checkLedgers(const Rows &hosts, const Rows &pools) const;
    std::string checkNewPermits(const Rows &hosts, const Rows &pools, TimePoint now) const;
    std::string checkDrainTimes(const Rows &hosts, TimePoint now);
    std::string checkNewPlacements(const Rows &hosts);
    std::string checkQuotas();
    std::string checkWorkers();

    std::map<std::string, unsigned> m_budgets;
    std::map<std::string, Resources> m_quotas;
    std::map<std::string, Resources> m_taskSizes; ///< declared, by job
    unsigned m_allowedReboots = 1; ///< of one host: one for each generation
    std::map<std::string, bool> m_serving;
    std::size_t m_hostCount = 0;
    bool m_admitted = false;
    const FakeTable &m_table;
    FakeFleet &m_fleet;
    std::map<std::string, std::pair<Version, std::shared_ptr<const Json::Value>>>
        m_parsed; ///< by key
    Version m_checkedRevision = 0;
    Rows m_formerPools;
    std::map<std::string, TimePoint> m_drainStart;
    std::map<std::string, TimePoint> m_unreachableSince;
    std::map<std::string, unsigned> m_finished;
    std::map<std::string, std::uint64_t> m_epochs; ///< by task
};

} // namespace Peridot
