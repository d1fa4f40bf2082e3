#pragma once

#include <Kernel/Jobs/JobScheduler.h>
#include <catch2/catch.hpp>

namespace Peridot::Jobs::Test {

/// A scheduler with one queue and the workers that a test adds. Orders are collected, and the test
/// answers them.
class SchedulerFixture
{
public:
    SchedulerFixture() : scheduler(1, 1, {}, hooks(), now)
    {
        JobConfiguration configuration;
        configuration.queues
            = {{"queue", "h", "/q/", "pool", 0, 3, 1.6, std::chrono::milliseconds(600)}};
        configuration.pools = {{"pool", false}};
        queue = configuration.queues.front();
        scheduler.setConfiguration(std::make_shared<JobConfiguration>(configuration));
    }

    static WorkerDescription worker(const std::string &id, std::int64_t startedAt = 1000)
    {
        WorkerDescription description;
        description.id = id;
        description.address = "10.0.0.1";
        description.pool = "pool";
        description.capacity = {4000, 4096, 0};
        description.startedAt = startedAt;
        return description;
    }

    /// Answers a poll of the worker that was sent now.
    void answerPoll(const std::string &id, std::int64_t startedAt = 1000,
                    const std::vector<ActiveRun> &active = {},
                    const std::vector<EndedRun> &ended = {})
    {
        PollReply reply;
        reply.startedAt = startedAt;
        reply.active = active;
        reply.ended = ended;
        answerPoll(id, reply);
    }

    /// The same with what is in \a reply.
    void answerPoll(const std::string &id, PollReply reply)
    {
        PollOrder order;
        order.worker = id;
        order.incarnation = reply.startedAt;
        order.sentAt = now;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = toUnixMilliseconds(now);
        scheduler.pollFinished(now, order, reply);
    }

    /// A step of tasks that take one of the four processors of a worker each.
    static StepSpecification stepOf(unsigned count)
    {
        StepSpecification step;
        step.count = count;
        step.size = {1000, 100, 0};
        return step;
    }

    void submit(const std::string &id, const StepSpecification &step = {})
    {
        SubmittedJob job;
        job.id = id;
        job.queue = queue;
        job.specification.steps = {step};
        scheduler.addJob(now, job, std::nullopt, absentVersion);
    }

    /// Plans, and commits the rows that the scheduler wants to write.
    void planAndCommit()
    {
        scheduler.plan(now);
        while (const auto transaction = scheduler.takeTransaction(now)) {
            for (const RowWrite &write : transaction->writes)
                rows[write.key] = write.value;
            CommitResult result;
            result.status = CommitStatus::Committed;
            result.revision = ++revision;
            scheduler.transactionFinished(now, result);
        }
        scheduler.plan(now);
    }

    /// Answers all start orders as accepted.
    void acceptStarts()
    {
        for (const StartOrder &order : std::exchange(starts, {}))
            scheduler.startFinished(now, order, {OrderOutcome::Accepted, toUnixMilliseconds(now)});
    }

    /// Plans, and answers the start orders as accepted. Returns the started runs by worker.
    std::map<std::string, std::vector<RunName>> startAll()
    {
        planAndCommit();
        std::map<std::string, std::vector<RunName>> runs;
        for (const StartOrder &order : starts)
            runs[order.worker].push_back(order.run);
        acceptStarts();
        return runs;
    }

    std::size_t runsOn(const std::string &id) const
    {
        return scheduler.workers().at(id).runs.size();
    }

    TimePoint now{std::chrono::hours(1)};
    QueueSettings queue;
    Version revision = 1;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> throttles;
    std::vector<PollOrder> polls;
    std::vector<AdviceRequest> adviceRequests;
    std::map<std::string, std::optional<std::string>> rows; ///< latest values by key
    std::map<std::string, unsigned> events; ///< numbers by kind
    JobScheduler scheduler;

private:
    SchedulerHooks hooks()
    {
        SchedulerHooks hooks;
        hooks.orders.start = [this](const StartOrder &order) {
            starts.push_back(order);
        };
        hooks.orders.stop = [this](const StopOrder &order) {
            stops.push_back(order);
        };
        hooks.orders.throttle = [this](const ThrottleOrder &order) {
            throttles.push_back(order);
        };
        hooks.orders.poll = [this](const PollOrder &order) {
            polls.push_back(order);
        };
        hooks.orders.advise = [this](const AdviceRequest &request) {
            adviceRequests.push_back(request);
        };
        hooks.observe = [this](const SchedulerEvent &event) {
            ++events[std::string(event.kind)];
        };
        hooks.fenced = [] {
        };
        return hooks;
    }
};

} // namespace Peridot::Jobs::Test
