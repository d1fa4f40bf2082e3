#include "SchedulerFixture.h"

#include <Kernel/Jobs/HostPlanner.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds tick{100};

/// A pool of hosts that are all in a wave, each with a worker that runs what it is ordered to, and
/// a job that lasts with one task on each worker.
class MaintainedPool : public SchedulerFixture
{
public:
    explicit MaintainedPool(unsigned hosts, unsigned lastingTasks)
    {
        HostPlannerHooks plannerHooks;
        plannerHooks.sendOrder = [this](const HostOrder &order) {
            m_orders.push_back(order);
        };
        plannerHooks.waveCompleted = [this](std::uint64_t) {
            completedAt = now;
        };
        plannerHooks.fenced = [] {
        };
        planner = std::make_unique<HostPlanner>(1, HostPlannerTiming{}, plannerHooks);
        configuration.pools = {{"pool", false}};
        configuration.queues = {queue};
        for (unsigned index = 0; index < hosts; ++index)
            addHost("h" + std::to_string(index));
        update();
        StepSpecification lasting = stepOf(lastingTasks);
        lasting.longRunning = true;
        lasting.maximumPerWorker = 1;
        lasting.maximumUnavailable = 1;
        submit("00000000000000aa", lasting);
        run(2s);
    }

    void requestWave(unsigned maximumConcurrent)
    {
        MaintenanceWave wave{1, {}, 24s, maximumConcurrent, now};
        for (const auto &[id, host] : m_hosts)
            wave.hosts.push_back(id);
        planner->addWave(wave, {});
        requestedAt = now;
    }

    /// Lets time pass, and submits a short job in each second when \a withJobs.
    void run(Duration time, bool withJobs = false)
    {
        for (const TimePoint end = now + time; now < end; now += tick) {
            if (withJobs && now >= m_nextJob) {
                m_nextJob = now + 1s;
                submit("00000000000001" + std::to_string(10 + m_jobs++), stepOf(1));
            }
            update();
            planner->plan(now, scheduler, configuration);
            planAndCommit();
            answerOrders();
            longestWait = std::max(longestWait, now - waitingSince());
            mostHostsDown = std::max(mostHostsDown, hostsDown());
            mostTasksAway = std::max(mostTasksAway, tasksAway());
        }
    }

    JobConfiguration configuration;
    std::unique_ptr<HostPlanner> planner;
    TimePoint requestedAt;
    std::optional<TimePoint> completedAt;
    bool refusesOrders = false; ///< the provider carries out no order
    Duration longestWait{0}; ///< of a short job for its start
    unsigned mostHostsDown = 0;
    unsigned mostTasksAway = 0; ///< tasks that last, beside those that have no host

private:
    struct SimulatedHost
    {
        HostDescription description;
        TimePoint backAt;
        std::map<RunName, TimePoint> runs; ///< with their starts
        std::uint64_t ends = 0;
    };

    void addHost(const std::string &id)
    {
        SimulatedHost &host = m_hosts[id];
        host.description.id = id;
        host.description.pool = "pool";
        host.description.capacity = {4000, 4096, 0};
        host.description.worker = id + "-w1";
    }

    unsigned hostsDown() const
    {
        return static_cast<unsigned>(
            std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &entry) {
                return entry.second.description.phase == HostPhase::Maintenance;
            }));
    }

    unsigned tasksAway() const
    {
        const auto job = scheduler.jobs().find("00000000000000aa");
        const auto &step = job->second.occurrences().at(0).steps[0];
        return static_cast<unsigned>(std::min(step.tasks.size(), m_hosts.size()) - step.active);
    }

    /// When the oldest short job that waits was received; now if none waits.
    TimePoint waitingSince() const
    {
        TimePoint oldest = now;
        for (const auto &[id, job] : scheduler.jobs()) {
            if (!job.longRunning() && job.phase() == JobPhase::Queued)
                oldest = std::min(oldest, job.receivedAt);
        }
        return oldest;
    }

    /// Brings hosts back, lists hosts and workers, and answers a poll of each worker.
    void update()
    {
        std::vector<HostDescription> list;
        std::vector<WorkerDescription> workers;
        for (auto &[id, host] : m_hosts) {
            if (host.description.phase == HostPhase::Maintenance && now >= host.backAt) {
                host.description.phase = HostPhase::Up;
                host.description.worker += "1";
                host.ends = 0;
            }
            list.push_back(host.description);
            if (host.description.phase == HostPhase::Up)
                workers.push_back(worker(host.description.worker));
        }
        scheduler.setWorkers(now, workers);
        planner->setHosts(now, {list});
        scheduler.setExistingWorkers(now, now, planner->existingWorkers());
        for (auto &[id, host] : m_hosts) {
            if (host.description.phase == HostPhase::Up)
                report(host);
        }
    }

    /// Short tasks take 0.8 s; those that last are in service after half a second.
    void report(SimulatedHost &host)
    {
        const std::string &id = host.description.worker;
        std::vector<EndedRun> ended;
        std::vector<ActiveRun> active;
        std::erase_if(host.runs, [&](const auto &entry) {
            const auto &[name, startedAt] = entry;
            const bool isOver = !scheduler.isLongRunning(name.task) && now >= startedAt + 800ms;
            if (isOver)
                ended.push_back({++host.ends, name, RunOutcome::Done, {}});
            return isOver;
        });
        for (const StopOrder &stop : std::exchange(m_stops[id], {})) {
            if (host.runs.erase(stop.run) > 0)
                ended.push_back({++host.ends, stop.run, RunOutcome::Stopped, {}});
        }
        for (const auto &[name, startedAt] : host.runs)
            active.push_back({name, {}, now >= startedAt + 500ms ? 100U : 50U, {}});
        answerPoll(id, 1000, active, ended);
    }

    void answerOrders()
    {
        for (const StartOrder &order : starts) {
            for (auto &[id, host] : m_hosts) {
                if (host.description.worker == order.worker)
                    host.runs.emplace(order.run, now);
            }
        }
        acceptStarts();
        for (const StopOrder &order : std::exchange(stops, {})) {
            m_stops[order.worker].push_back(order);
            scheduler.stopFinished(now, order, {OrderOutcome::Accepted, {}});
        }
        for (const HostOrder &order : std::exchange(m_orders, {}))
            answerHostOrder(order);
    }

    void answerHostOrder(const HostOrder &order)
    {
        if (refusesOrders)
            return planner->orderFinished(now, order, HostOrderOutcome::Refused);
        SimulatedHost &host = m_hosts.at(order.host);
        CHECK(host.runs.empty());
        host.description.phase = HostPhase::Maintenance;
        host.backAt = now + 2s;
        planner->orderFinished(now, order, HostOrderOutcome::Accepted);
    }

    std::map<std::string, SimulatedHost> m_hosts;
    std::map<std::string, std::vector<StopOrder>> m_stops;
    std::vector<HostOrder> m_orders;
    TimePoint m_nextJob;
    unsigned m_jobs = 0;
};

} // namespace

TEST_CASE("A wave over all hosts of a service leaves room for its jobs and is completed in time")
{
    // Guards against a service that starts nothing any more (LOST): all its hosts were reserved,
    // and none became empty, because each ran a task that lasts and no other host had room for it.
    MaintainedPool pool(3, 3);
    SECTION("when the wave allows to maintain all of them at the same time")
    {
        pool.requestWave(3);
    }
    SECTION("when it allows one")
    {
        pool.requestWave(1);
    }
    pool.run(24s, true);
    REQUIRE(pool.completedAt);
    CHECK(*pool.completedAt <= pool.requestedAt + 24s);
    CHECK(pool.longestWait < 1s);
    CHECK(pool.mostHostsDown == 1);
    CHECK(pool.mostTasksAway == 1); // as many as the step allows
}

TEST_CASE("The only host of a service is emptied and maintained")
{
    MaintainedPool pool(1, 1);
    pool.requestWave(1);
    pool.run(24s, true);
    REQUIRE(pool.completedAt);
    CHECK(pool.longestWait < 6s); // it is emptied, maintained and contacted meanwhile
}

TEST_CASE("Hosts that cannot be maintained run jobs all the same")
{
    // Guards against reservations without an end.
    SECTION("because a task that lasts has no host, so that no other may be stopped")
    {
        MaintainedPool pool(2, 3);
        pool.requestWave(2);
        pool.run(60s, true);
        CHECK_FALSE(pool.completedAt);
        CHECK(pool.longestWait < 1s);
        CHECK(pool.mostTasksAway == 0);
    }
    SECTION("because the provider refuses all orders")
    {
        MaintainedPool pool(1, 1);
        pool.refusesOrders = true;
        pool.requestWave(1);
        pool.run(60s, true);
        CHECK_FALSE(pool.completedAt);
        CHECK(pool.longestWait < 3s); // while it is reserved
        SECTION("and are maintained once it accepts them")
        {
            pool.refusesOrders = false;
            pool.run(15s);
            CHECK(pool.completedAt);
        }
    }
}
