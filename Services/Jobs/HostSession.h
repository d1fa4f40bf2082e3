#pragma once

#include "PlatformPorts.h"
#include <Kernel/Jobs/HostPlanner.h>
#include <LibBase/Time.h>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Peridot::Jobs {

/// Drives the host planner during one term of the scheduler: lists of hosts, orders to their
/// provider, and the rows of waves. Single-threaded on its context.
class HostSession
{
public:
    struct Hooks
    {
        std::function<TimePoint()> clock;
        std::function<void()> deposed;
        /// Whether the lease of the scheduler is certainly held now.
        std::function<bool()> mayOrder;
        std::function<void()> listChanged; ///< the list of workers is worth another look
    };

    HostSession(asio::io_context &context, const PlatformPorts &ports, std::uint64_t epoch,
                RowCheck epochCheck, HostPlannerTiming timing, Hooks hooks);

    void start();
    void setWave(const MaintenanceWave &wave);
    void plan(JobScheduler &scheduler, const JobConfiguration &configuration);
    bool changesUnderWay() const { return m_planner.changesUnderWay(); }

private:
    void loadWaves();
    void listHosts();
    void sendOrder(const HostOrder &order);
    void writeWave(std::uint64_t wave, bool completed);
    HostPlannerHooks plannerHooks();

    const PlatformPorts &m_ports;
    RowCheck m_epochCheck;
    Hooks m_hooks;
    HostPlanner m_planner;
    bool m_wavesLoaded = false;
    std::map<std::uint64_t, MaintenanceWave> m_waves;
    std::map<std::uint64_t, std::set<std::string>> m_loadedDone; ///< of former holders, by wave
    TimePoint m_lastPlan;
    TimePoint m_listApplied; ///< when the list was asked for that the scheduler knows
    asio::steady_timer m_listTimer;
    asio::steady_timer m_loadTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
