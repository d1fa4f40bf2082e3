#pragma once

#include "FleetDeployment.h"
#include <FleetFake/FleetDriver.h>

namespace Peridot {

struct RolloutOptions
{
    FleetDeployment deployment;
    WaveOrder order = WaveOrder::FailureDomain;
    bool oneAtATime = false; ///< one host of the whole fleet, pool after pool
    unsigned failures = 0; ///< hosts that fail during the wave
    std::uint64_t seed = 1;
};

struct RolloutResult
{
    double seconds = 0;
    double lowerBoundSeconds = 0; ///< by budget, drain and reboot times alone
    double outageBoundSeconds = 0; ///< the same with the budget that outages use
    bool finished = false;
    std::size_t mostUnavailable = 0; ///< hosts of one pool, by its ledger
    std::size_t mostRacks = 0; ///< racks with hosts out of service for the wave at once
    unsigned tasks = 0;
    unsigned taskMoves = 0; ///< starts beyond the first one of each task
    unsigned cutTasks = 0;
};

/// One maintenance wave over a deployment, in virtual time.
class RolloutModel
{
public:
    explicit RolloutModel(const RolloutOptions &options);

    RolloutResult run();

private:
    struct Failure
    {
        std::string host;
        TimePoint start;
        TimePoint end;
    };

    void tick();
    void startWaves();
    void planFailures();
    void applyFailures();
    bool isDone() const;
    void observe(RolloutResult &result);
    double lowerBound(bool countOutages) const;

    RolloutOptions m_options;
    std::shared_ptr<Manifest> m_manifest;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetDriver m_driver;
    RandomSource m_random;
    std::vector<Failure> m_failures;
    std::set<std::string> m_doneBeforeFailure; ///< failed hosts that had been maintained before
    TimePoint m_now;
    TimePoint m_start;
    std::size_t m_nextPool = 0;
    unsigned m_starts = 0;
};

} // namespace Peridot
