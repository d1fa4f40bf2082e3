#pragma once

#include <Kernel/Jobs/HostOrders.h>
#include <Kernel/Jobs/JobScheduler.h>
#include <Kernel/Jobs/PeakForecast.h>
#include <Kernel/Jobs/PoolDemand.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Peridot::Jobs {

struct HostPlannerTiming
{
    /// Expected time that a host is out of service for maintenance.
    Duration maintenanceDuration = std::chrono::seconds(2);
};

struct HostPlannerHooks
{
    /// Called for each order that is to be sent to the host provider. Its outcome must be passed to
    /// orderFinished().
    std::function<void(const HostOrder &)> sendOrder;
    /// Called when every host of the wave has been maintained.
    std::function<void(std::uint64_t wave)> waveCompleted;
    /// Reports a decision or an event, for logs and metrics.
    std::function<void(std::string_view kind, const std::string &host, const std::string &detail)>
        observe;
    /// Called when the host provider has seen a higher fencing epoch.
    std::function<void()> fenced;
};

/// Decides which hosts are maintained next and which hosts are moved to another pool. Each order
/// carries the fencing epoch of the scheduler. Before a host is moved or maintained, it is
/// reserved: its worker is marked unschedulable, so that the host becomes idle as its runs end.
class HostPlanner
{
public:
    HostPlanner(std::uint64_t epoch, HostPlannerTiming timing, HostPlannerHooks hooks);

    /// Replaces the hosts with the provider's list of all hosts, which was requested at
    /// \a requestedAt. When entries of it could not be read, hosts that it leaves out stay.
    void setHosts(TimePoint requestedAt, const HostList &list);
    /// Adds a wave unless it is already known. \a maintained lists the hosts whose maintenance has
    /// already begun, for example under a previous scheduler.
    void addWave(const MaintenanceWave &wave, const std::set<std::string> &maintained);
    bool hasWave(std::uint64_t wave) const { return m_waves.contains(wave); }
    /// Sends no order for \a host before \a time, because a previous scheduler sent one recently.
    void deferOrders(const std::string &host, TimePoint time);
    /// A previous scheduler ordered the maintenance of \a host, and the order may still be carried
    /// out until \a time. Until then, or until an order of this planner is accepted, which fences
    /// the earlier one, the host counts as in maintenance.
    void expectEarlierMaintenance(const std::string &host, TimePoint time);
    /// Takes the outcome of an order that was passed to HostPlannerHooks::sendOrder.
    void orderFinished(TimePoint now, const HostOrder &order, HostOrderOutcome outcome);

    /// What was learned about the peaks of the pools, to be stored.
    const PeakHistory &peakHistory() const { return m_forecast.history(); }
    /// Number of changes of the history that are worth storing.
    std::uint64_t peakChanges() const { return m_forecast.changes(); }
    /// Takes what a previous scheduler has learned.
    void restorePeakHistory(TimePoint now, PeakHistory history)
    {
        m_forecast.restore(now, std::move(history));
    }

    /// Updates the estimated demand of the pools, sends orders to maintain and move hosts, and sets
    /// which workers of \a scheduler are unschedulable.
    void plan(TimePoint now, JobScheduler &scheduler, const JobConfiguration &configuration);

    /// Workers on those hosts of the latest list that are not down.
    std::set<std::string> existingWorkers() const;
    /// When the latest list of hosts was requested.
    TimePoint listRequestedAt() const { return m_listRequestedAt; }
    /// Whether all entries of the latest list could be read, so that hosts which are not listed do
    /// not exist.
    bool isListComplete() const { return m_listIsComplete; }

    /// Hosts of the wave whose maintenance has begun.
    const std::set<std::string> &maintainedHosts(std::uint64_t wave) const;
    /// Whether a wave is not completed or a host is in transition. In this case the lists of hosts
    /// and workers should be refreshed more often.
    bool hasPendingChanges() const;

private:
    struct Host
    {
        HostDescription description;
        bool orderInFlight = false; ///< an order was sent and its outcome is not known yet
        /// An order was sent, and no list requested after it has shown the host up again.
        bool inTransition = false;
        TimePoint orderedAt; ///< when the last order was sent or its outcome became known
        TimePoint nextOrderAt; ///< earliest time of the next order, after one that failed
        std::optional<TimePoint> idleSince; ///< set while the host has no runs
        /// Number of the wave for which the host gets no further runs; 0: none.
        std::uint64_t reservedForWave = 0;
        TimePoint reservedAt; ///< when reservedForWave was set
        /// Since when the host is reserved and no run on it ends.
        std::optional<TimePoint> blockedSince;
        TimePoint reservableAt; ///< not reserved for a wave before
        /// The host gets no further runs, so that it can be moved to a pool that lacks hosts.
        bool reservedForMove = false;
    };
    struct Wave
    {
        MaintenanceWave request;
        std::set<std::string> maintained; ///< hosts that need no further order of this wave
        bool completed = false;
    };

    /// Hosts of one pool in a wave.
    struct PoolInWave
    {
        unsigned remaining = 0; ///< hosts of the wave that are not maintained yet
        unsigned outOfService = 0; ///< hosts of the pool that are reserved or in transition
        /// Maximum of outOfService, by the tasks that last and so that the other tasks have a host.
        unsigned limit = 0;
        /// The limit when the wave needs it to be completed within its period, with a round to
        /// spare; 0 otherwise, and where the limit of the wave is lower or the pool can get hosts.
        unsigned required = 0;
    };

    /// State of one planning pass over the moves between pools.
    struct MovePlan
    {
        std::map<std::string, unsigned> present; ///< see presentHosts(); updated by moves
        std::map<std::string, unsigned> down; ///< number of hosts that are down, by pool
        /// All pools, in the order in which hosts are taken from them: spare pools are last.
        std::vector<const PoolSettings *> sourcePools;
        std::size_t missing = 0; ///< number of hosts that pools need but could not get
    };

    /// Orders the maintenance of idle reserved hosts, or completes the wave.
    void planWave(TimePoint now, Wave &wave, JobScheduler &scheduler);
    /// Selects the hosts to be maintained next, least loaded first, and reserves them.
    void reserveForWave(TimePoint now, Wave &wave, const JobScheduler &scheduler);
    /// How many times a host can be drained and maintained until the wave should be completed.
    double remainingRounds(TimePoint now, const Wave &wave) const;
    /// Number of hosts that must be drained or maintained at the same time to complete the wave
    /// within its period, at most the limit of the wave.
    unsigned requiredConcurrency(TimePoint now, const Wave &wave, std::size_t remainingHosts) const;
    /// The pools of the hosts that are not maintained yet.
    std::map<std::string, PoolInWave> poolsOf(TimePoint now, const Wave &wave) const;
    void reserve(TimePoint now, Host &host, std::uint64_t wave);
    /// Reserves the hosts that a previous scheduler may have ordered to be maintained: they come
    /// first, and their runs would end with the maintenance.
    void reserveExpectedHosts(TimePoint now, const Wave &wave);
    /// Ends reservations that lead to no maintenance, so that the hosts get runs again for a while.
    void releaseBlockedHosts(TimePoint now, const JobScheduler &scheduler);
    /// Whether the host is in maintenance or in transition, or may be soon by an order of a
    /// previous scheduler.
    bool isInMaintenance(TimePoint now, const Wave &wave, const Host &host) const;
    unsigned hostsInMaintenance(TimePoint now, const Wave &wave) const;
    /// Number of hosts of the wave that are in maintenance, or reserved for one.
    unsigned concurrentHosts(TimePoint now, const Wave &wave) const;
    /// Hosts of the wave that may be reserved, least loaded first.
    std::vector<Host *> reservableHosts(TimePoint now, const Wave &wave,
                                        const JobScheduler &scheduler);
    /// Number of \a hosts in the pool that may be out of service for waves at the same time.
    unsigned maintenanceLimit(const std::string &pool, unsigned hosts) const;
    /// Whether the wave may maintain the host at any moment by an order of a previous scheduler.
    bool expectsEarlierMaintenance(TimePoint now, const Wave &wave, const Host &host) const;
    /// Number of hosts that the pool keeps for its first burst, whether it needs them or not.
    unsigned standbyHosts(TimePoint now, const PoolSettings &pool) const;
    /// Number of hosts that the pool keeps when it gives hosts to a pool that needs them or, with
    /// \a forSparePool, when it returns idle hosts to the spare pool.
    unsigned hostsToKeep(TimePoint now, const PoolSettings &pool, bool forSparePool) const;
    /// Whether the pause after an order of a previous scheduler for the host has not passed yet.
    bool areOrdersDeferred(TimePoint now, const std::string &host) const;
    /// Whether a spare pool has a host that can be moved to a pool that lacks hosts.
    bool hasSpareHosts(TimePoint now, const JobConfiguration &configuration) const;
    /// Whether an order may be sent for the host now.
    bool acceptsOrders(TimePoint now, const Host &host) const;
    /// Moves a host of pool \a from that has been idle for \a minimumIdleTime to pool \a to.
    /// Returns whether an order was sent.
    bool moveIdleHost(TimePoint now, const JobScheduler &scheduler, const std::string &from,
                      const std::string &to, Duration minimumIdleTime);
    void planMoves(TimePoint now, const JobScheduler &scheduler,
                   const JobConfiguration &configuration);
    void observeDemand(TimePoint now, const JobScheduler &scheduler,
                       const JobConfiguration &configuration);
    /// Learns from the load of the pools, and sets which peaks are expected.
    void forecastPeaks(TimePoint now, const JobConfiguration &configuration, unsigned hosts);
    /// Reports the hosts that the pool needs, and the load that decided.
    void reportDemand(const std::string &pool, const PoolLoad &load, unsigned present) const;
    /// Number of hosts by pool that are up, moving or in transition, without those reserved for a
    /// wave. A host whose move was just ordered counts for its target pool.
    std::map<std::string, unsigned> presentHosts() const;
    /// Host of \a pool that has been idle for this long and can be moved to \a target; null: none.
    Host *findIdleHost(TimePoint now, const JobScheduler &scheduler, const std::string &pool,
                       const std::string &target, Duration minimumIdleTime);
    /// Moves an idle host that another pool does not need to pool \a target. Returns whether there
    /// was one.
    bool acquireHost(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                     const std::string &target);
    /// Moves hosts to the pools that need more, and counts the missing ones.
    void growPools(TimePoint now, const JobScheduler &scheduler, MovePlan &plan);
    /// Moves hosts that have been idle for a while to the spare pool.
    void returnIdleHosts(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                         const std::string &sparePool);
    /// Reserves \a count hosts of \a pool for moves to other pools, and cancels such reservations
    /// of its other hosts. Prefers hosts that are already reserved, then those with the lowest
    /// load. Hosts with long-running tasks are not reserved.
    void reserveForMoves(const std::string &pool, std::size_t count, const JobScheduler &scheduler);
    static bool hasLongRunningTasks(const Host &host, const JobScheduler &scheduler);
    void updateIdleTimes(TimePoint now, const JobScheduler &scheduler);
    void moveHost(TimePoint now, Host &host, const std::string &pool);
    void sendOrder(TimePoint now, Host &host, const HostOrder &order);
    /// Marks the workers on reserved hosts and on hosts in transition unschedulable.
    void applyReservations(TimePoint now, JobScheduler &scheduler) const;
    void observe(std::string_view kind, const std::string &host, const std::string &detail) const;
    static std::size_t runCount(const Host &host, const JobScheduler &scheduler);
    /// Share of the processors of the host that its runs reserve.
    static double allocatedShare(const Host &host, const JobScheduler &scheduler);

    std::uint64_t m_epoch;
    HostPlannerTiming m_timing;
    HostPlannerHooks m_hooks;
    std::map<std::string, Host> m_hosts;
    std::map<std::string, TimePoint> m_ordersDeferredUntil; ///< by host; see deferOrders()
    /// By host; see expectEarlierMaintenance().
    std::map<std::string, TimePoint> m_earlierMaintenanceUntil;
    bool m_hasSpareHosts = false; ///< in the current planning pass
    TimePoint m_shortageUntil; ///< pools keep fewer standby hosts until then
    /// The latest list as received, without the effects of later orders that m_hosts contains.
    std::map<std::string, HostDescription> m_listedHosts;
    std::map<std::uint64_t, Wave> m_waves;
    PoolDemand m_demand;
    PeakForecast m_forecast;
    std::optional<TimePoint> m_demandObservedAt;
    std::map<std::string, unsigned> m_initialHosts; ///< number of hosts by pool at the first plan
    /// Pools that have needed at least as many hosts as they had initially. When bursts alternate
    /// between pools, these are the least likely to have the next one, so they keep no standby
    /// hosts.
    std::set<std::string> m_poolsWithBurst;
    /// Moves that the provider does not allow: host and target pool.
    std::set<std::pair<std::string, std::string>> m_invalidMoves;
    TimePoint m_listRequestedAt;
    bool m_listIsComplete = true;
};

} // namespace Peridot::Jobs
