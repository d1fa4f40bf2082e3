#pragma once

#include "PlatformPorts.h"
#include <Kernel/Jobs/HostPlanner.h>
#include <LibBase/OneShotTimer.h>
#include <LibBase/Time.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Peridot::Jobs {

struct HostSessionTiming
{
    /// Minimum time between the orders of two successive lease holders for the same host.
    Duration holderPause = std::chrono::seconds(3);
    HostPlannerTiming planner;
};

/// Runs the host planner of one scheduler session: reads the list of hosts, sends orders to the
/// host provider, and writes the rows of waves and host orders to the store. Single-threaded on its
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
        std::function<void(std::string_view kind)> observe; ///< counts an event of the planner
        std::function<void()> refreshWorkers; ///< reads the list of workers again
    };

    /// Contents of the row of a wave: its progress so far, including under previous schedulers.
    struct WaveProgress
    {
        std::set<std::string> maintained; ///< hosts whose maintenance has begun
        /// When the wave was requested, in milliseconds on the store's clock; 0: not known.
        std::int64_t requestedStoreTime = 0;
    };

    HostSession(asio::io_context &context, const PlatformPorts &ports, std::uint64_t epoch,
                RowCheck epochCheck, HostSessionTiming timing, Hooks hooks);

    /// Reads the stored rows and starts to list hosts. Does nothing without a host provider.
    void start();
    /// Passes new waves and lists to the planner and the scheduler. Runs a planning pass when all
    /// rows are loaded and the last pass was long enough ago.
    void plan(JobScheduler &scheduler, const JobConfiguration &configuration);
    bool hasPendingChanges() const { return m_planner.hasPendingChanges(); }

private:
    /// Row that shows administrators the status of a wave.
    struct WaveStatusWrite
    {
        RowWrite row;
        bool completed = false;
    };

    void loadRows(const std::string &prefix);
    /// Runs a step that failed once more, after a pause.
    void repeatLater(std::function<void()> step);
    void wavesLoaded(const ReadResult &result);
    void ordersLoaded(const ReadResult &result);
    void peaksLoaded(const ReadResult &result);
    /// Writes what was learned about the peaks of the pools when it has changed.
    void writePeaks(TimePoint now);
    /// Stores the times of the orders. ordersRecorded() then sends them.
    void recordOrders(std::vector<HostOrder> orders);
    void ordersRecorded(const std::vector<HostOrder> &orders, TimePoint recordedAt,
                        const CommitResult &result);
    void listHosts();
    void sendOrder(const HostOrder &order);
    void addNewWaves();
    void addWave(const MaintenanceWave &wave);
    /// Writes the maintained hosts of the wave, and then \a status, which administrators see. With
    /// a status, the write is repeated until it succeeds.
    void writeWave(std::uint64_t wave, const std::optional<WaveStatusWrite> &status);
    void writeStatus(const WaveStatusWrite &status);
    TimePoint fromStoreTime(std::int64_t storeTime) const;
    std::int64_t toStoreTime(TimePoint time) const;
    HostPlannerHooks plannerHooks();

    const PlatformPorts &m_ports;
    std::uint64_t m_epoch;
    RowCheck m_epochCheck;
    Hooks m_hooks;
    Duration m_holderPause;
    std::vector<HostOrder> m_plannedOrders; ///< orders of the current planning pass, not sent yet
    HostPlanner m_planner;
    std::uint64_t m_transactionCount = 0; ///< numbers the operation ids of this session
    bool m_wavesLoaded = false;
    bool m_ordersLoaded = false;
    /// Progress of each wave when it was loaded or, for a new wave, added.
    std::map<std::uint64_t, WaveProgress> m_initialProgress;
    /// When the waves were read, on the store's clock and on the local one. Used to convert times.
    std::int64_t m_loadedStoreTime = 0;
    TimePoint m_loadedAt;
    TimePoint m_lastPlan;
    bool m_peaksLoaded = false;
    std::uint64_t m_writtenPeakChanges = 0; ///< of the planner; those that the row contains
    bool m_peakWriteInFlight = false;
    TimePoint m_lastPeakWrite;
    /// Request time of the list of hosts that was last passed to the scheduler.
    TimePoint m_appliedListRequestedAt;
    OneShotTimer m_listTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
