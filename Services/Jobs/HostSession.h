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
#include <vector>

namespace Peridot::Jobs {

struct HostSessionTiming
{
    /// Two holders must not give orders for one host within this time.
    Duration holderPause = std::chrono::seconds(3);
    HostPlannerTiming planner;
};

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
        /// The waves that administrators asked for.
        std::function<const MaintenanceWaves &()> waves;
        /// Milliseconds on the store's clock; 0: not known yet.
        std::function<std::int64_t()> storeTime;
        std::function<void(std::string_view kind)> observe; ///< an event of the planner
        std::function<void()> listChanged; ///< the list of workers is worth another look
    };

    /// Row of a wave: what former schedulers did of it.
    struct WaveProgress
    {
        std::set<std::string> done;
        std::int64_t requestedStoreTime = 0; ///< milliseconds on the store's clock; 0: not known
    };

    HostSession(asio::io_context &context, const PlatformPorts &ports, std::uint64_t epoch,
                RowCheck epochCheck, HostSessionTiming timing, Hooks hooks);

    void start();
    void plan(JobScheduler &scheduler, const JobConfiguration &configuration);
    bool changesUnderWay() const { return m_planner.changesUnderWay(); }

private:
    void load(const std::string &prefix);
    void wavesLoaded(const ReadResult &result);
    void ordersLoaded(const ReadResult &result);
    void recordOrders(std::vector<HostOrder> orders);
    void ordersRecorded(const std::vector<HostOrder> &orders, const CommitResult &result);
    void listHosts();
    void sendOrder(const HostOrder &order);
    void beginNewWaves();
    void beginWave(const MaintenanceWave &wave);
    /// Writes the hosts that are done, and \a status beside them; repeats a status until it is
    /// known to be written.
    void writeWave(std::uint64_t wave, const std::vector<RowWrite> &status);
    TimePoint timeOf(std::int64_t storeTime) const;
    std::int64_t storeTimeOf(TimePoint time) const;
    HostPlannerHooks plannerHooks();

    const PlatformPorts &m_ports;
    RowCheck m_epochCheck;
    Hooks m_hooks;
    Duration m_holderPause;
    std::vector<HostOrder> m_planned; ///< by the pass under way
    HostPlanner m_planner;
    std::uint64_t m_operations = 0; ///< transactions so far, for their ids
    bool m_wavesLoaded = false;
    bool m_ordersLoaded = false;
    std::map<std::uint64_t, WaveProgress> m_progress; ///< by wave, as it was when this term began
    std::int64_t m_loadedStoreTime = 0; ///< of the store when it answered with the waves
    TimePoint m_loadedAt;
    TimePoint m_lastPlan;
    TimePoint m_listApplied; ///< when the list was asked for that the scheduler knows
    asio::steady_timer m_listTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
