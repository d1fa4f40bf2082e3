#pragma once

#include <Kernel/Jobs/HostOrders.h>
#include <Kernel/Jobs/JobScheduler.h>
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
    Duration maintenanceDuration = std::chrono::seconds(2);
};

struct HostPlannerHooks
{
    std::function<void(const HostOrder &)> order;
    /// Called when every host of the wave has been maintained.
    std::function<void(std::uint64_t wave)> waveCompleted;
    /// Reports a decision or an observation, for logs and metrics.
    std::function<void(std::string_view kind, const std::string &host, const std::string &detail)>
        observe;
    /// Called when the provider has seen a higher fencing epoch.
    std::function<void()> fenced;
};

/// Decides which hosts are maintained next and to which pool each host belongs. Its orders carry
/// the fencing epoch of the scheduler. Before a host is moved or maintained, its worker is marked
/// unschedulable, so that the host becomes idle as its runs end.
class HostPlanner
{
public:
    HostPlanner(std::uint64_t epoch, HostPlannerTiming timing, HostPlannerHooks hooks);

    /// Replaces the hosts by the provider's complete list, which was requested at \a requestedAt.
    void setHosts(TimePoint requestedAt, const std::vector<HostDescription> &hosts);
    /// Adds a wave unless it is known already. \a maintained lists hosts whose maintenance has
    /// begun, for example under a previous scheduler.
    void setWave(const MaintenanceWave &wave, const std::set<std::string> &maintained);
    bool hasWave(std::uint64_t wave) const { return m_waves.contains(wave); }
    /// Sends no order for \a host before \a time, because a previous scheduler sent one recently.
    void deferOrders(const std::string &host, TimePoint time);
    void orderFinished(TimePoint now, const HostOrder &order, HostOrderOutcome outcome);

    void plan(TimePoint now, JobScheduler &scheduler, const JobConfiguration &configuration);

    /// Workers on the hosts of the latest list that are not down.
    std::set<std::string> existingWorkers() const;
    /// When the latest list of hosts was requested.
    TimePoint listRequestedAt() const { return m_listRequestedAt; }

    /// Hosts of the wave whose maintenance has begun.
    const std::set<std::string> &maintainedHosts(std::uint64_t wave) const;
    /// Whether a wave is not completed or an order is in progress, so that the lists of hosts and
    /// workers should be refreshed more often.
    bool hasPendingChanges() const;

private:
    struct Host
    {
        HostDescription description;
        bool orderInFlight = false;
        /// An order was sent and no later list has shown the host up again.
        bool inTransition = false;
        TimePoint orderedAt;
        TimePoint nextOrderAt; ///< earliest time of the next order
        std::optional<TimePoint> idleSince;
        std::uint64_t reservedForWave = 0; ///< number of the wave; 0: none
        /// The host gets no further runs, so that it can move to a pool that lacks hosts.
        bool reservedForMove = false;
    };
    struct Wave
    {
        MaintenanceWave request;
        std::set<std::string> maintained;
        bool completed = false;
    };

    /// State of one planning pass over the pools.
    struct MovePlan
    {
        std::map<std::string, unsigned> present; ///< usable hosts by pool, with incoming ones
        std::map<std::string, unsigned> down; ///< hosts that are down, by pool
        std::vector<const PoolSettings *> sourcePools; ///< in order of use; spare pools last
        std::size_t missing = 0; ///< hosts that pools need and no other pool has free
    };

    void planWave(TimePoint now, Wave &wave, JobScheduler &scheduler);
    void reserveForWave(TimePoint now, Wave &wave, const JobScheduler &scheduler);
    unsigned requiredConcurrency(TimePoint now, const Wave &wave, std::size_t left) const;
    unsigned inMaintenance(const Wave &wave) const;
    unsigned standbyHosts(TimePoint now, const PoolSettings &pool) const;
    unsigned hostsToKeep(TimePoint now, const PoolSettings &pool, bool permanently) const;
    bool acceptsOrders(TimePoint now, const Host &host) const;
    bool moveIdleHost(TimePoint now, const JobScheduler &scheduler, const std::string &from,
                      const std::string &to, Duration idleFor);
    void planMoves(TimePoint now, const JobScheduler &scheduler,
                   const JobConfiguration &configuration);
    void observeDemand(TimePoint now, const JobScheduler &scheduler,
                       const JobConfiguration &configuration);
    std::map<std::string, unsigned> presentHosts() const;
    Host *findIdleHost(TimePoint now, const JobScheduler &scheduler, const std::string &pool,
                       Duration idleFor);
    bool acquireHost(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                     const std::string &target);
    void growPools(TimePoint now, const JobScheduler &scheduler, MovePlan &plan);
    void returnIdleHosts(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                         const std::string &sparePool);
    void reserveForMoves(const std::string &pool, std::size_t count, const JobScheduler &scheduler);
    static bool hasLongRunningTasks(const Host &host, const JobScheduler &scheduler);
    void updateIdleTimes(TimePoint now, const JobScheduler &scheduler);
    void moveHost(TimePoint now, Host &host, const std::string &pool);
    void order(TimePoint now, Host &host, const HostOrder &order);
    void applyReservations(JobScheduler &scheduler) const;
    void observe(std::string_view kind, const std::string &host, const std::string &detail) const;
    static std::size_t runsOn(const Host &host, const JobScheduler &scheduler);
    static double load(const Host &host, const JobScheduler &scheduler);

    std::uint64_t m_epoch;
    HostPlannerTiming m_timing;
    HostPlannerHooks m_hooks;
    std::map<std::string, Host> m_hosts;
    std::map<std::string, TimePoint> m_ordersDeferredUntil; ///< by host; see deferOrders()
    TimePoint m_shortageUntil; ///< until then, pools keep fewer standby hosts
    std::map<std::string, HostDescription> m_listedHosts; ///< unchanged latest list
    std::map<std::uint64_t, Wave> m_waves;
    PoolDemand m_demand;
    std::optional<TimePoint> m_demandObservedAt;
    std::map<std::string, unsigned> m_initialHosts; ///< by pool, at the first plan
    /// Pools that have needed at least as many hosts as they had initially. When bursts alternate
    /// between pools, these are the least likely to have the next one, so they keep no standby.
    std::set<std::string> m_poolsWithBurst;
    std::set<std::pair<std::string, std::string>> m_invalidMoves; ///< refused moves: host and pool
    TimePoint m_listRequestedAt;
};

} // namespace Peridot::Jobs
