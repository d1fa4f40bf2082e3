#include <Kernel/Jobs/HostPlanner.h>
#include <Kernel/Jobs/RuntimeModel.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr TaskSize hostSize{32000, 131072, 0};

/// Two pools of six hosts and a spare pool of four, with one worker a host; short tasks of one
/// core. Orders are answered at once.
class Fleet
{
public:
    explicit Fleet(std::uint64_t epoch = 1)
        : scheduler(epoch, 1, {}, schedulerHooks(), now), planner(epoch, {}, plannerHooks())
    {
        configuration.pools = {{"front", false}, {"back", false}, {"spare", true}};
        configuration.queues = {{"front-queue", "h", "/f/", "front", 0, 3, 1.6, 600ms},
                                {"back-queue", "h", "/b/", "back", 0, 3, 1.6, 600ms}};
        scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
        for (int index = 0; index < 16; ++index) {
            HostDescription host;
            host.id = "h" + std::to_string(index);
            host.pool = index < 6 ? "front" : index < 12 ? "back" : "spare";
            host.capacity = hostSize;
            host.worker = index < 12 ? "w" + std::to_string(index) : std::string();
            hosts.push_back(host);
        }
        listWorkers();
        planner.setHosts(now, hosts);
    }

    /// Lists the workers and answers a look to each, so that they may get runs.
    void listWorkers()
    {
        std::vector<WorkerDescription> workers;
        for (const auto &host : hosts) {
            if (host.worker.empty())
                continue;
            WorkerDescription worker;
            worker.id = host.worker;
            worker.address = "10.0.0.1";
            worker.pool = host.pool;
            worker.capacity = hostSize;
            workers.push_back(worker);
        }
        scheduler.setWorkers(now, workers);
        for (const auto &worker : workers) {
            PollOrder order;
            order.worker = worker.id;
            order.sentAt = now;
            PollReply reply;
            reply.outcome = OrderOutcome::Accepted;
            reply.clock = 1000;
            scheduler.pollFinished(now, order, reply);
        }
    }

    void submit(const std::string &queue, unsigned tasks)
    {
        SubmittedJob job;
        job.id = "job" + std::to_string(++m_jobs);
        job.queue = *configuration.queue(queue);
        StepSpecification step;
        step.count = tasks;
        step.size = {4000, 1000, 0};
        step.estimatedRuntime = 2s;
        job.specification.steps = {step};
        scheduler.addJob(now, job, std::nullopt, absentVersion);
        scheduler.plan(now);
    }

    void plan(Duration later = 100ms)
    {
        now += later;
        orders.clear();
        planner.plan(now, scheduler, configuration);
    }

    unsigned moves(const std::string &pool) const
    {
        return static_cast<unsigned>(
            std::count_if(orders.begin(), orders.end(), [&](const auto &order) {
                return order.kind == HostOrderKind::Move && order.pool == pool;
            }));
    }

    unsigned maintained() const
    {
        return static_cast<unsigned>(
            std::count_if(orders.begin(), orders.end(),
                          [](const auto &order) { return order.kind == HostOrderKind::Maintain; }));
    }

    SchedulerHooks schedulerHooks()
    {
        SchedulerHooks hooks;
        hooks.orders
            = {[](const StartOrder &) {}, [](const StopOrder &) {}, [](const ThrottleOrder &) {},
               [](const PollOrder &) {
               }};
        hooks.fenced = [] {
        };
        return hooks;
    }

    HostPlannerHooks plannerHooks()
    {
        HostPlannerHooks hooks;
        hooks.order = [this](const HostOrder &order) {
            orders.push_back(order);
        };
        hooks.waveCompleted = [this](std::uint64_t) {
            waveCompleted = true;
        };
        hooks.fenced = [] {
        };
        return hooks;
    }

    TimePoint now{std::chrono::hours(1)};
    JobConfiguration configuration;
    std::vector<HostDescription> hosts;
    JobScheduler scheduler;
    HostPlanner planner;
    std::vector<HostOrder> orders;
    bool waveCompleted = false;

private:
    unsigned m_jobs = 0;
};

} // namespace

TEST_CASE("A burst takes hosts of the spare pool, and no more than half of those of a pool that "
          "may be next")
{
    Fleet fleet;
    fleet.plan();
    CHECK(fleet.orders.empty());
    fleet.submit("front-queue", 70); // 280 cores, and six hosts have 192
    fleet.plan();
    CHECK(fleet.moves("front") >= 3);
    const auto takenFromOther = [&] {
        return std::count_if(fleet.orders.begin(), fleet.orders.end(), [](const auto &order) {
            const int number = std::stoi(order.host.substr(1));
            return number >= 6 && number < 12;
        });
    };
    CHECK(takenFromOther() <= 3);
    SECTION("a third stays even while the pool with the burst lacks hosts")
    {
        const auto before = takenFromOther();
        fleet.submit("front-queue", 400);
        fleet.plan();
        fleet.plan();
        CHECK(before + takenFromOther() <= 4);
    }
    SECTION("hosts that nobody needs go back to the spare pool only after a while")
    {
        Fleet idle;
        idle.plan();
        CHECK(idle.moves("spare") == 0);
        idle.plan(2s);
        CHECK(idle.moves("spare") == 6);
    }
    SECTION("hosts that are still starting are not replaced by spare ones")
    {
        // Guards against a dozen moves there and back each time that all hosts start.
        Fleet starting;
        for (auto &host : starting.hosts) {
            if (host.pool != "spare")
                host.phase = HostPhase::Down;
        }
        starting.planner.setHosts(starting.now, starting.hosts);
        starting.plan();
        CHECK(starting.orders.empty());
        SECTION("unless there is work for them")
        {
            starting.submit("front-queue", 70);
            starting.plan();
            CHECK(starting.moves("front") == 4);
        }
    }
    SECTION("jobs that a successor finds are no burst")
    {
        // Guards against demand several times too high after each take-over, because all jobs that
        // were read from the store counted as arrivals of the last moment.
        Fleet next(2);
        for (int job = 0; job < 24; ++job)
            next.submit("front-queue", 1); // 96 cores in all, and six hosts have 192
        next.plan();
        CHECK(next.moves("front") == 0);
    }
    SECTION("a host for which a former scheduler gave an order gets none before its pause is over")
    {
        Fleet next(2);
        for (int index = 6; index < 16; ++index)
            next.planner.deferOrders("h" + std::to_string(index), next.now + 2s);
        next.submit("front-queue", 70);
        next.plan();
        CHECK(next.orders.empty());
        next.plan(2s);
        CHECK(next.moves("front") >= 3);
    }
}

TEST_CASE("A wave keeps its limit and is completed when every host was maintained")
{
    Fleet fleet;
    MaintenanceWave wave{1, {}, 24s, 2, fleet.now};
    for (int index = 0; index < 5; ++index)
        wave.hosts.push_back("h" + std::to_string(index));
    fleet.planner.setWave(wave, {});
    fleet.plan();
    REQUIRE(fleet.maintained() == 2);
    const auto first = fleet.orders;
    SECTION("an order without an answer counts as a host in maintenance")
    {
        fleet.planner.orderFinished(fleet.now, first[0], HostOrderOutcome::Unknown);
        fleet.planner.orderFinished(fleet.now, first[1], HostOrderOutcome::Unknown);
        fleet.plan();
        CHECK(fleet.maintained() == 0);
    }
    SECTION("hosts that are back make room for the next, until all are done")
    {
        for (int round = 0; round < 4 && !fleet.waveCompleted; ++round) {
            for (const HostOrder &order : fleet.orders)
                fleet.planner.orderFinished(fleet.now, order, HostOrderOutcome::Accepted);
            fleet.now += 2s;
            fleet.planner.setHosts(fleet.now, fleet.hosts);
            fleet.plan();
            CHECK(fleet.maintained() <= 2);
        }
        CHECK(fleet.waveCompleted);
    }
    SECTION("a successor does not maintain a host again that is done")
    {
        Fleet next(2);
        next.planner.setWave(wave, {"h0", "h1", "h2", "h3"});
        next.plan();
        REQUIRE(next.maintained() == 1);
        CHECK(next.orders[0].host == "h4");
    }
    SECTION("a host with runs is emptied first")
    {
        Fleet busy;
        busy.submit("front-queue", 48);
        busy.planner.setWave(wave, {});
        busy.plan();
        CHECK(busy.maintained() == 0);
    }
    SECTION("a successor counts the period from the request, not from its own start")
    {
        // Guards against maintenance that is late by the time that the former scheduler had used.
        wave.maximumConcurrent = 4;
        const auto reservedAfter = [&](Duration elapsed) {
            Fleet next(2);
            next.submit("front-queue", 48);
            wave.requestedAt = next.now - elapsed;
            next.planner.setWave(wave, {});
            next.plan();
            return std::count_if(wave.hosts.begin(), wave.hosts.end(), [&](const auto &host) {
                return next.scheduler.workers().at("w" + host.substr(1)).unschedulable;
            });
        };
        CHECK(reservedAfter(0s) == 0); // all hosts are in use, and there is time
        CHECK(reservedAfter(16s) == 4);
    }
}

TEST_CASE("Runtimes are learned where declared ones are far off")
{
    RuntimeModel model;
    CHECK(model.predict(5s) == Duration(5s));
    SECTION("estimates that say nothing lead to the typical runtime")
    {
        for (int index = 0; index < 100; ++index)
            model.addSample(index % 2 == 0 ? 100ms : 10s, 800ms);
        CHECK(toSeconds(model.predict(10s)) == Approx(0.8).epsilon(0.05));
        CHECK(toSeconds(model.predict(100ms)) == Approx(0.8).epsilon(0.05));
    }
    SECTION("estimates that are right are kept")
    {
        for (int index = 0; index < 100; ++index)
            model.addSample((1 + index % 5) * 1s, (1 + index % 5) * 1s);
        CHECK(toSeconds(model.predict(4s)) == Approx(4).epsilon(0.05));
    }
}
