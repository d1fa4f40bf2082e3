#include "LoopbackResponder.h"
#include "Measurement.h"

#include <Kernel/Jobs/JobRows.h>
#include <LibBase/Log.h>
#include <ctime>
#include <fmt/core.h>
#include <platform/PlatformStore.h>
#include <platform/PlatformWorkers.h>

namespace Peridot {

namespace {

using namespace Jobs;
using namespace Platform;

constexpr unsigned workers = 40;
/// Calls in flight. A scheduler with little processor time finds many answers each time it polls.
constexpr unsigned callsInFlight = 32;
constexpr unsigned starts = 20'000;
constexpr unsigned polls = 4'000;
constexpr unsigned commits = 1'000;
constexpr unsigned rowsPerCommit = 8;
constexpr unsigned rows = 20'000;
constexpr unsigned runsPerPoll = 8;
constexpr unsigned tasksPerJob = 16;
constexpr unsigned events = 300'000;

double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

RunName runName(unsigned number)
{
    return {{fmt::format("{:032x}", number), 0, 1, number % tasksPerJob}, 1};
}

std::string pollAnswer()
{
    std::string running;
    std::string ended;
    for (unsigned run = 0; run < runsPerPoll; ++run) {
        const char *separator = run == 0 ? "" : ",";
        running += fmt::format(R"({}["{}",1,"",50])", separator, runName(run).task.text());
        ended += fmt::format(R"({}[{},"{}",1,"done",""])", separator, run + 1,
                             runName(run + runsPerPoll).task.text());
    }
    return fmt::format(R"({{"clock_ms":1000,"born":1,"running":[{}],"ended":[{}]}})", running,
                       ended);
}

/// Progress of a job of two steps.
JobProgress jobProgress()
{
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.changedAt = fromUnixMilliseconds(1'700'000'000'000);
    auto &steps = progress.occurrences.emplace_back().steps;
    for (unsigned task = 0; task < tasksPerJob; ++task) {
        if (task % (tasksPerJob / 2) == 0)
            steps.emplace_back();
        steps.back().push_back({false, {}, {}, 1, fmt::format("worker-{}", task)});
    }
    return progress;
}

/// Processor time of the thread of the scheduler for the calls of a run, against a server in
/// another thread that answers at once.
class OrderMeasurement final : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override;

private:
    /// Sends \a count calls with \a send, which calls its argument when the answer has come.
    void measureCalls(const char *name, unsigned count,
                      const std::function<void(unsigned, std::function<void()>)> &send);
    void measureStarts();
    void measurePolls();
    void measureCommits();
    static void measureRows();
    static void measureEvents();

    asio::io_context m_context;
    TaskQueue m_tasks{m_context};
    PlatformHttp m_http{m_context, m_tasks, TaskPriority::Normal};
    PlatformWorkers m_workers{m_context, m_tasks};
};

void OrderMeasurement::measureCalls(
    const char *name, unsigned count,
    const std::function<void(unsigned, std::function<void()>)> &send)
{
    unsigned sent = 0;
    unsigned answered = 0;
    std::function<void()> next = [&] {
        if (sent < count)
            send(sent++, [&] {
                ++answered;
                next();
            });
    };
    const double before = threadSeconds();
    for (unsigned call = 0; call < callsInFlight; ++call)
        next();
    m_context.restart();
    while (answered < count)
        m_context.run_one();
    fmt::print("measure=orders call={} calls={} us_per_call={:.2f}\n", name, count,
               1e6 * (threadSeconds() - before) / count);
}

void OrderMeasurement::measureStarts()
{
    unsigned accepted = 0;
    measureCalls("start", starts, [&](unsigned number, std::function<void()> done) {
        StartOrder order;
        order.worker = fmt::format("worker-{}", number % workers);
        order.run = runName(number);
        order.payload = R"({"input":"objects/0001","mode":"convert"})";
        order.leaseEnd = 1;
        order.fencingEpoch = 1;
        m_workers.start(order, [&accepted, done = std::move(done)](const StartOrder &,
                                                                   const OrderReply &reply) {
            accepted += reply.outcome == OrderOutcome::Accepted ? 1 : 0;
            done();
        });
    });
    fmt::print("measure=orders accepted_starts={}\n", accepted);
}

void OrderMeasurement::measurePolls()
{
    std::size_t runs = 0;
    measureCalls("poll", polls, [&](unsigned number, std::function<void()> done) {
        PollOrder order;
        order.worker = fmt::format("worker-{}", number % workers);
        order.leaseEnd = 1;
        order.fencingEpoch = 1;
        m_workers.poll(order,
                       [&runs, done = std::move(done)](const PollOrder &, const PollReply &reply) {
                           runs += reply.active.size() + reply.ended.size();
                           done();
                       });
    });
    fmt::print("measure=orders listed_runs={}\n", runs);
}

void OrderMeasurement::measureCommits()
{
    const LoopbackResponder store(R"({"ver":7,"now_ms":1})");
    PlatformStore client(m_http, {"127.0.0.1", store.port()});
    const std::string row = encodeJobProgress(jobProgress());
    measureCalls("commit", commits, [&](unsigned number, std::function<void()> done) {
        Transaction transaction;
        transaction.operationId = std::to_string(number);
        for (unsigned index = 0; index < rowsPerCommit; ++index) {
            const std::string key = fmt::format("progress/{:032x}", number + index);
            transaction.checks.push_back({key, 1});
            transaction.writes.push_back({key, row});
        }
        client.commit(transaction, [done = std::move(done)](const CommitResult &) { done(); });
    });
}

void OrderMeasurement::measureRows()
{
    const JobProgress progress = jobProgress();
    std::size_t bytes = 0;
    const double before = threadSeconds();
    for (unsigned row = 0; row < rows; ++row)
        bytes += encodeJobProgress(progress).size();
    fmt::print("measure=orders call=encode-row calls={} bytes={} us_per_call={:.2f}\n", rows,
               bytes / rows, 1e6 * (threadSeconds() - before) / rows);
}

/// Most lines are over the limit of their kind, as with thousands of starts a second.
void OrderMeasurement::measureEvents()
{
    const double before = threadSeconds();
    for (unsigned number = 0; number < events; ++number) {
        const RunName run = runName(number);
        logEvent(LogLevel::Info, "run-placed",
                 {{"job", run.task.job},
                  {"task", run.task.text()},
                  {"run", run.run},
                  {"worker", "worker-1"},
                  {"detail", ""}});
    }
    fmt::print("measure=orders call=log-event calls={} us_per_call={:.2f}\n", events,
               1e6 * (threadSeconds() - before) / events);
}

int OrderMeasurement::run(const std::vector<std::string> &arguments)
{
    const auto isWanted = [&](const char *name) {
        return arguments.empty() || arguments.front() == name;
    };
    std::vector<std::unique_ptr<LoopbackResponder>> responders;
    for (unsigned worker = 0; worker < workers; ++worker) {
        responders.push_back(std::make_unique<LoopbackResponder>(pollAnswer()));
        m_workers.setEndpoint(fmt::format("worker-{}", worker),
                              {"127.0.0.1", responders.back()->port()});
    }
    if (isWanted("start"))
        measureStarts();
    if (isWanted("poll"))
        measurePolls();
    if (isWanted("commit"))
        measureCommits();
    if (isWanted("row"))
        measureRows();
    if (isWanted("event"))
        measureEvents();
    return 0;
}

const PluginRegistrar<MeasurementRegistry> orders("orders", [] {
    return std::make_unique<OrderMeasurement>();
});

} // namespace

} // namespace Peridot
