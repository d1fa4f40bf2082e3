#pragma once

#include "../SchedulerFixture.h"
#include <Kernel/Jobs/HostPlanner.h>
#include <cmath>
#include <functional>
#include <random>
#include <utility>

namespace Peridot::Jobs::Test {

using namespace std::chrono_literals;

/// A fleet of 350 hosts: four pools with a queue each, and a spare pool. Workers run what they are
/// ordered to, and the provider takes 1.5 s for a move. The queues peak in turn.
class FleetModel : public SchedulerFixture
{
public:
    static constexpr unsigned poolCount = 4;
    static constexpr unsigned hostsPerPool = 55;
    static constexpr unsigned spareHosts = 130;
    static constexpr TaskSize hostSize{32000, 131072, 0};

    FleetModel()
    {
        HostPlannerHooks plannerHooks;
        plannerHooks.sendOrder = [this](const HostOrder &order) {
            m_orders.push_back(order);
        };
        plannerHooks.waveCompleted = [](std::uint64_t) {
        };
        plannerHooks.fenced = [] {
        };
        plannerHooks.observe = [this](std::string_view kind, const std::string &, const auto &) {
            ++events[std::string(kind)];
        };
        planner = std::make_unique<HostPlanner>(1, HostPlannerTiming{}, plannerHooks);
        unsigned number = 0;
        for (unsigned pool = 0; pool < poolCount; ++pool) {
            configuration.pools.push_back({poolName(pool), false});
            configuration.queues.push_back({poolName(pool), "h", "/" + poolName(pool) + "/",
                                            poolName(pool), 0, 3, 1.6, 600ms});
            for (unsigned host = 0; host < hostsPerPool; ++host)
                addHost(number++, poolName(pool));
        }
        configuration.pools.push_back({"spare", true});
        for (unsigned host = 0; host < spareHosts; ++host)
            addHost(number++, "spare");
        scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
        list();
    }

    static std::string poolName(unsigned pool) { return "pool-" + std::to_string(pool); }

    /// What was measured while one queue had its peak.
    struct Turn
    {
        Duration hostsUpAfter{0}; ///< when its pool had the hosts of the peak, from its begin on
        double inTime = 0; ///< share of the ended jobs of all queues that met their objective
        double hostSeconds = 0; ///< of the hosts in all pools but the spare one
    };

    /// One queue after the other has a peak, beginning with \a first, which keeps \a hosts hosts
    /// busy for 4 to 5 s. The others are asked for a twentieth of the mean.
    std::vector<Turn> runPeaks(unsigned hosts, unsigned first, unsigned turns)
    {
        std::vector<Turn> result;
        for (unsigned turn = first; turn < first + turns; ++turn) {
            m_inTime = m_late = 0;
            Turn measured;
            const Duration length = 4s + (turn * 7 % 5) * 250ms;
            measured.hostsUpAfter = length;
            const TimePoint begin = now;
            while (now < begin + length) {
                measured.hostSeconds += runTick(hosts, turn % poolCount);
                if (hostsUp(turn % poolCount) >= hosts * 9 / 10)
                    measured.hostsUpAfter = std::min(measured.hostsUpAfter, now - begin);
            }
            measured.inTime = inTimeShare();
            result.push_back(measured);
        }
        return result;
    }

    /// The time before the first peak.
    void runQuietly(unsigned hosts, Duration time)
    {
        for (const TimePoint end = now + time; now < end;)
            runTick(hosts, poolCount);
    }

    unsigned hostsUp(unsigned pool) const
    {
        return static_cast<unsigned>(
            std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
                const HostDescription &host = entry.second.description;
                return host.pool == poolName(pool) && host.phase == HostPhase::Up
                       && !host.worker.empty();
            }));
    }

    JobConfiguration configuration;
    std::unique_ptr<HostPlanner> planner;
    std::map<std::string, unsigned> events; ///< of the planner, by kind
    /// Submissions are refused while the work that waits in the pool would take longer; they count
    /// as late.
    std::optional<Duration> acceptedWait;

private:
    static constexpr std::chrono::milliseconds tick{50};
    static constexpr std::chrono::milliseconds moveTime{1500};
    static constexpr std::chrono::milliseconds listPeriod{300};

    struct SimulatedHost
    {
        HostDescription description;
        TimePoint backAt;
        std::map<RunName, TimePoint> runs; ///< with their ends
        std::uint64_t ends = 0;
        unsigned lives = 1;
        bool contacted = false;
    };
    /// Returns the host-seconds of the tick.
    double runTick(unsigned hosts, unsigned peakPool)
    {
        const double peak = hosts * 32.0 * 0.9; // processors; a tenth is lost by packing
        if (acceptedWait)
            m_loads = poolLoads(scheduler, now, now);
        for (unsigned pool = 0; pool < poolCount; ++pool)
            submitJobs(pool, pool == peakPool ? peak : peak / 4.5 / 20);
        if (now >= m_nextList)
            list();
        report();
        if (now >= m_nextPlan) {
            m_nextPlan = now + 100ms;
            planner->plan(now, scheduler, configuration);
        }
        planAndCommit();
        answerOrders();
        now += tick;
        countEnds();
        const auto inPools = std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &entry) {
            return entry.second.description.pool != "spare";
        });
        return static_cast<double>(inPools) * toSeconds(tick);
    }

    /// Jobs that go on are late when their objective has passed.
    double inTimeShare() const
    {
        auto late = static_cast<double>(m_late);
        for (const auto &[id, due] : m_submitted)
            late += now > due ? 1 : 0;
        return m_inTime / (m_inTime + late);
    }

    void addHost(unsigned number, const std::string &pool)
    {
        SimulatedHost &host = m_hosts["h" + std::to_string(1000 + number)];
        host.description = {"h" + std::to_string(1000 + number), pool, HostPhase::Up, hostSize, {}};
        if (pool != "spare")
            setWorker(host);
    }

    void setWorker(SimulatedHost &host)
    {
        host.description.worker = host.description.id + "-w" + std::to_string(host.lives++);
        m_hostOf[host.description.worker] = &host;
        host.ends = 0;
        host.contacted = false;
    }

    void submitJobs(unsigned pool, double processors)
    {
        double &due = m_dueWork[pool];
        due += processors * toSeconds(tick);
        while (due > 0) {
            // One of five jobs is a larger one.
            const bool isLarge = ++m_jobCount % 5 == 0;
            StepSpecification step;
            step.count = 8;
            step.size = {4000, 1000, 0};
            step.estimatedRuntime = isLarge ? Duration(1400ms) : Duration(600ms);
            SubmittedJob job;
            job.id = std::to_string(1'000'000'000'000'000 + m_jobCount);
            job.queue = configuration.queues[pool];
            job.specification.steps = {step, step};
            job.specification.steps[1].after = {0};
            const Duration path = step.estimatedRuntime * 2;
            if (acceptsJob(pool)) {
                m_submitted[job.id] = now + path * 16 / 10 + 600ms;
                scheduler.addJob(now, job, std::nullopt, absentVersion);
            } else {
                ++m_late;
            }
            // In each step 8 tasks of 4 processors. Arrivals are random (Poisson).
            const double chance = (static_cast<double>(m_random()) + 1) / 4294967296.0;
            due -= 8 * 4 * toSeconds(path) * -std::log(chance);
        }
    }

    bool acceptsJob(unsigned pool)
    {
        // A pool with few hosts is about to get more.
        const double processors = std::max(hostsUp(pool), 20U) * 32.0;
        const double work = m_loads[poolName(pool)].waitingMilliProcessorSeconds / 1000;
        return !acceptedWait || work <= processors * toSeconds(*acceptedWait);
    }

    /// Brings hosts back that have moved, and lists hosts and workers.
    void list()
    {
        m_nextList = now + listPeriod;
        std::vector<HostDescription> hosts;
        std::vector<WorkerDescription> workers;
        for (auto &[id, host] : m_hosts) {
            hosts.push_back(host.description);
            if (host.description.phase != HostPhase::Up || host.description.worker.empty())
                continue;
            WorkerDescription description = worker(host.description.worker);
            description.pool = host.description.pool;
            description.capacity = hostSize;
            workers.push_back(description);
        }
        scheduler.setWorkers(now, workers);
        planner->setHosts(now, {hosts});
        scheduler.setExistingWorkers(now, now, planner->existingWorkers());
    }

    void report()
    {
        for (auto &[id, host] : m_hosts) {
            HostDescription &description = host.description;
            if (description.phase == HostPhase::Moving && now >= host.backAt) {
                description.phase = HostPhase::Up;
                if (description.pool != "spare")
                    setWorker(host);
            }
            const bool isUp = description.phase == HostPhase::Up;
            if (isUp && scheduler.workers().contains(description.worker))
                answerPollOf(host);
        }
    }

    /// A poll is answered at once when a run has ended, or when the worker is new.
    void answerPollOf(SimulatedHost &host)
    {
        std::vector<EndedRun> ended;
        std::vector<ActiveRun> active;
        std::erase_if(host.runs, [&](const auto &entry) {
            if (now < entry.second)
                return false;
            ended.push_back({++host.ends, entry.first, RunOutcome::Done, {}});
            return true;
        });
        if (host.contacted && ended.empty() && now < m_nextList)
            return;
        host.contacted = true;
        for (const auto &[name, end] : host.runs)
            active.push_back({name, {}, 50U, {}});
        answerPoll(host.description.worker, 1000, active, ended);
    }

    void answerOrders()
    {
        for (const StartOrder &order : starts) {
            const Job &job = scheduler.jobs().at(order.run.task.job);
            m_hostOf.at(order.worker)
                ->runs.emplace(order.run, now + job.step(order.run.task.step).estimatedRuntime);
        }
        acceptStarts();
        for (const HostOrder &order : std::exchange(m_orders, {})) {
            SimulatedHost &host = m_hosts.at(order.host);
            CHECK(host.runs.empty());
            host.description.phase = HostPhase::Moving;
            host.description.pool = order.pool;
            host.description.worker.clear();
            host.backAt = now + moveTime;
            planner->orderFinished(now, order, HostOrderOutcome::Accepted);
        }
    }

    void countEnds()
    {
        std::erase_if(m_submitted, [&](const auto &entry) {
            const auto job = scheduler.jobs().find(entry.first);
            if (job != scheduler.jobs().end() && !isFinished(job->second.phase()))
                return false;
            ++(now <= entry.second ? m_inTime : m_late);
            return true;
        });
    }

    std::map<std::string, SimulatedHost> m_hosts;
    std::map<std::string, SimulatedHost *> m_hostOf; ///< by worker
    std::vector<HostOrder> m_orders;
    std::map<std::string, TimePoint> m_submitted; ///< when unfinished jobs are due
    std::map<std::string, PoolLoad> m_loads;
    double m_dueWork[poolCount] = {};
    std::mt19937 m_random{20261204};
    std::size_t m_jobCount = 0;
    double m_inTime = 0; ///< jobs that have ended in this turn
    double m_late = 0;
    TimePoint m_nextList;
    TimePoint m_nextPlan;
};

} // namespace Peridot::Jobs::Test
