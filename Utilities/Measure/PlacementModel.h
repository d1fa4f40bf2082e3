#pragma once

#include "FleetDeployment.h"
#include <FleetFake/FleetDriver.h>

namespace Peridot {

/// One deployment under one placement policy, in virtual time.
class PlacementModel
{
public:
    PlacementModel(const FleetDeployment &deployment, const std::string &policy,
                   std::uint64_t seed);

    /// Hosts' worth of capacity that stays free when demand for normal work is unlimited.
    double bufferInHosts();

    /// Fills the fleet to this share of its capacity with normal tasks.
    void fill(double share, Urgency urgency);

    /// Fails the rack with the most tasks for good. True when every displaced task runs again.
    bool survivesRackFailure();

    struct Moves
    {
        unsigned tasks = 0;
        unsigned taskMoves = 0;
        unsigned hosts = 0;
        unsigned hostMoves = 0;
    };

    /// Maintains every host once and, afterwards, moves \a hosts hosts to the next pool.
    Moves movesOfWave(unsigned hosts);

    struct UrgentStarts
    {
        std::vector<double> seconds; ///< from the change of the manifest to execution, sorted
        unsigned missing = 0;
        unsigned stopped = 0; ///< less urgent tasks that lost their progress
    };

    /// Adds urgent tasks one after the other.
    UrgentStarts startUrgent(unsigned count);

private:
    void run(Duration duration, Duration interval);
    void run(Duration duration);
    void tick(Duration interval);
    void apply(const std::function<void(Manifest &)> &change);
    double freeHosts() const;
    bool isExecuting(const std::string &task) const;
    void addTasks(const std::string &pool, unsigned count, Urgency urgency);

    FleetDeployment m_deployment;
    std::shared_ptr<Manifest> m_manifest;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetDriver m_driver;
    RandomSource m_random;
    TimePoint m_now;
    std::uint64_t m_version = 1;
    unsigned m_jobs = 0;
    unsigned m_starts = 0;
    std::map<std::string, TimePoint> m_startedAt; ///< first start of each task
};

} // namespace Peridot
