#include "ServiceFixture.h"

#include <Kernel/Jobs/JobRows.h>
#include <catch2/catch.hpp>
#include <fmt/core.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

namespace {

/// Rows of jobs that an earlier scheduler left behind, one of which runs on the worker.
void writeJobs(ServiceFixture &fixture, unsigned count)
{
    SubmittedJob job;
    job.queue.name = "queue";
    job.queue.pool = "pool";
    job.specification.steps.emplace_back().longRunning = true;
    for (unsigned number = 0; number < count; ++number) {
        job.id = fmt::format("{:016x}", number);
        fixture.write({jobKey(job.id), encodeSubmittedJob(job)});
    }
    TaskProgress task;
    task.run = 1;
    task.worker = "w";
    JobProgress progress;
    progress.phase = JobPhase::Running;
    progress.occurrences = {{0, {{task}}}};
    fixture.write({progressKey(fmt::format("{:016x}", 0)), encodeJobProgress(progress)});
}

} // namespace

TEST_CASE("A scheduler that takes over extends leases before it knows the jobs")
{
    // Guards against leases that expire while the rows of many jobs are read (LOST).
    ServiceFixture fixture;
    writeJobs(fixture, 10);
    bool extended = false;
    fixture.onPoll = [&](const PollOrder &order) {
        extended |= order.leaseEnd.has_value();
        PollReply reply = ServiceFixture::acceptedPoll();
        reply.active = {{{{fmt::format("{:016x}", 0), 0, 0, 0}, 1}, {}, 100, {}}};
        return reply;
    };
    fixture.feed.silentPrefix = std::string(progressPrefix); // the rows are never complete
    CHECK(fixture.runUntil(15s, [&] { return extended; }));
    CHECK(fixture.service->state().find("scheduler_epoch") == std::string::npos);
}

TEST_CASE("A cancellation that arrives while the jobs are loaded is carried out")
{
    // Guards against a cancellation that comes before the row of its job is read (UNASKED).
    ServiceFixture fixture;
    constexpr unsigned jobs = 500; // read in many steps
    writeJobs(fixture, jobs);
    const std::string last = fmt::format("{:016x}", jobs - 1);
    fixture.write({cancellationKey(last), "{}"});
    const auto cancelled = [&] {
        const auto progress = valueOrElse(
            [&] { return parseJobProgress(fixture.store.row(progressKey(last)).value); },
            [](const Error &) { return JobProgress{}; });
        return progress.phase == JobPhase::Cancelled;
    };
    CHECK(fixture.runUntil(20s, cancelled));
}
