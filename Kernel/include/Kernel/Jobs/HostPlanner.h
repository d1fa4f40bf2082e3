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
    Duration maintenance = std::chrono::seconds(2);
};

struct HostPlannerHooks
{
    std::function<void(const HostOrder &)> order;
    /// Every host of the wave has had its maintenance.
    std::function<void(std::uint64_t wave)> waveCompleted;
    std::function<void(std::string_view kind, const std::string &host, const std::string &detail)>
        observe;
    std::function<void()> deposed;
};

/// Decides which hosts have their maintenance next, and which host works in which pool. Acts under
/// the epoch of the scheduler. Hosts are emptied by placement before they are taken away.
class HostPlanner
{
public:
    HostPlanner(std::uint64_t epoch, HostPlannerTiming timing, HostPlannerHooks hooks);

    /// The provider's complete list, asked for at \a asked.
    void setHosts(TimePoint asked, const std::vector<HostDescription> &hosts);
    /// \a done: hosts whose maintenance is known to have begun, for example from a former holder.
    void setWave(const MaintenanceWave &wave, const std::set<std::string> &done);
    bool hasWave(std::uint64_t wave) const { return m_waves.contains(wave); }
    /// A former holder gave an order for the host, so that none may follow before \a time.
    void holdBack(const std::string &host, TimePoint time);
    void orderFinished(TimePoint now, const HostOrder &order, HostOrderOutcome outcome);

    void plan(TimePoint now, JobScheduler &scheduler, const JobConfiguration &configuration);

    /// Workers of the newest list of hosts.
    std::set<std::string> existingWorkers() const;
    /// When the newest list was asked for.
    TimePoint listAskedAt() const { return m_listAskedAt; }

    /// Hosts of the wave whose maintenance has begun.
    const std::set<std::string> &doneHosts(std::uint64_t wave) const;
    /// Hosts are on their way, so that lists of hosts and workers are wanted soon.
    bool changesUnderWay() const;

private:
    struct Host
    {
        HostDescription description;
        bool orderInFlight = false;
        bool away = false; ///< ordered away; until a later list shows it up
        TimePoint orderedAt;
        TimePoint notBefore; ///< of the next order
        std::optional<TimePoint> idleSince;
        std::uint64_t reservedForWave = 0; ///< 0: for none
        bool lent = false; ///< gets no further runs, so that it can move to a pool in need
    };
    struct Wave
    {
        MaintenanceWave request;
        std::set<std::string> done;
        bool completed = false;
    };

    /// State of one pass over the pools.
    struct MovePlan
    {
        std::map<std::string, unsigned> present; ///< hosts by pool, with those on their way
        std::map<std::string, unsigned> down; ///< hosts by pool
        std::vector<const PoolSettings *> donors; ///< in order; spare pools last
        std::size_t missing = 0; ///< hosts that pools lack, and no other pool could give
    };

    void planWave(TimePoint now, Wave &wave, JobScheduler &scheduler);
    void reserveForWave(TimePoint now, Wave &wave, const JobScheduler &scheduler);
    unsigned wantedAtOnce(TimePoint now, const Wave &wave, std::size_t left) const;
    unsigned inMaintenance(const Wave &wave) const;
    unsigned readyHosts(TimePoint now, const PoolSettings &pool) const;
    unsigned keptHosts(TimePoint now, const PoolSettings &pool, bool forGood) const;
    bool mayOrder(TimePoint now, const Host &host) const;
    bool giveHost(TimePoint now, const JobScheduler &scheduler, const std::string &from,
                  const std::string &to, Duration idleFor);
    void planMoves(TimePoint now, const JobScheduler &scheduler,
                   const JobConfiguration &configuration);
    void observeDemand(TimePoint now, const JobScheduler &scheduler,
                       const JobConfiguration &configuration);
    std::map<std::string, unsigned> presentHosts() const;
    Host *donor(TimePoint now, const JobScheduler &scheduler, const std::string &pool,
                Duration idleFor);
    bool takeHost(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                  const std::string &target);
    void growPools(TimePoint now, const JobScheduler &scheduler, MovePlan &plan);
    void parkHosts(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                   const std::string &sparePool);
    void lendHosts(const std::string &pool, std::size_t count, const JobScheduler &scheduler);
    static bool hasLastingRuns(const Host &host, const JobScheduler &scheduler);
    void noteIdleHosts(TimePoint now, const JobScheduler &scheduler);
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
    std::map<std::string, TimePoint> m_heldBack; ///< hosts that get no order before
    TimePoint m_starvedUntil; ///< a pool lacked hosts lately
    std::map<std::string, HostDescription> m_listed; ///< the newest list as it is
    std::map<std::uint64_t, Wave> m_waves;
    PoolDemand m_demand;
    std::optional<TimePoint> m_demandObservedAt;
    std::map<std::string, unsigned> m_firstHosts; ///< by pool, at the first plan
    /// Pools that needed as many hosts as they had at first. Where demand comes by turns, they are
    /// the last to be busy again.
    std::set<std::string> m_hadBurst;
    std::set<std::pair<std::string, std::string>> m_impossible; ///< host and pool
    TimePoint m_listAskedAt;
};

} // namespace Peridot::Jobs
