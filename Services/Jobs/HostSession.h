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
    /// Minimum time between orders of two different lease holders for the same host.
    Duration holderPause = std::chrono::seconds(3);
    HostPlannerTiming planner;
};

/// Runs the host planner during one term of the scheduler: reads the list of hosts, sends orders to
/// the host provider, and maintains the rows of waves and host orders. Single-threaded on its
/// context.
class HostSession
{
public:
    struct Hooks
    {
        std::function<TimePoint()> clock;
        std::function<void()> fenced; ///< the provider has seen a higher fencing epoch
        /// Whether this process certainly holds the scheduler lease now.
        std::function<bool()> leaseHeld;
        /// The waves that administrators have requested.
        std::function<const MaintenanceWaves &()> waves;
        /// Milliseconds on the store's clock; 0: not known yet.
        std::function<std::int64_t()> storeTime;
        std::function<void(std::string_view kind)> observe; ///< reports a planner event
        std::function<void()> refreshWorkers; ///< reads the list of workers again
    };

    /// Row of a wave: its progress so far, also under previous schedulers.
    struct WaveProgress
    {
        std::set<std::string> maintained; ///< hosts whose maintenance has begun
        std::int64_t requestedStoreTime = 0; ///< milliseconds on the store's clock; 0: not known
    };

    HostSession(asio::io_context &context, const PlatformPorts &ports, std::uint64_t epoch,
                RowCheck epochCheck, HostSessionTiming timing, Hooks hooks);

    void start();
    void plan(JobScheduler &scheduler, const JobConfiguration &configuration);
    bool hasPendingChanges() const { return m_planner.hasPendingChanges(); }

private:
    void loadRows(const std::string &prefix);
    void wavesLoaded(const ReadResult &result);
    void ordersLoaded(const ReadResult &result);
    void recordOrders(std::vector<HostOrder> orders);
    void ordersRecorded(const std::vector<HostOrder> &orders, const CommitResult &result);
    void listHosts();
    void sendOrder(const HostOrder &order);
    void addNewWaves();
    void addWave(const MaintenanceWave &wave);
    /// Writes the maintained hosts of the wave together with \a status. Repeats the write until it
    /// succeeds when \a status is not empty.
    void writeWave(std::uint64_t wave, const std::vector<RowWrite> &status);
    TimePoint fromStoreTime(std::int64_t storeTime) const;
    std::int64_t toStoreTime(TimePoint time) const;
    HostPlannerHooks plannerHooks();

    const PlatformPorts &m_ports;
    RowCheck m_epochCheck;
    Hooks m_hooks;
    Duration m_holderPause;
    std::vector<HostOrder> m_plannedOrders; ///< orders of the current planning pass
    HostPlanner m_planner;
    std::uint64_t m_operations = 0; ///< number of transactions, used in their operation ids
    bool m_wavesLoaded = false;
    bool m_ordersLoaded = false;
    std::map<std::uint64_t, WaveProgress> m_progress; ///< by wave, as loaded when this term began
    std::int64_t m_loadedStoreTime = 0; ///< store time at which the waves were read
    TimePoint m_loadedAt; ///< the same time on the local clock
    TimePoint m_lastPlan;
    TimePoint m_appliedListRequestedAt; ///< request time of the list that the scheduler has
    asio::steady_timer m_listTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
