#include "ServiceFixture.h"

#include <Kernel/Jobs/JobRows.h>
#include <catch2/catch.hpp>
#include <fmt/core.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

namespace {

constexpr unsigned jobCount = 120; // one planning pass places them, three transactions store them
constexpr unsigned jobsPerTransaction = 50; ///< at most: each takes two of 100 entries

void submitJobs(ServiceFixture &fixture)
{
    SubmittedJob job;
    job.queue.name = "queue";
    job.queue.pool = "pool";
    job.specification.steps.emplace_back().longRunning = true;
    for (unsigned number = 0; number < jobCount; ++number) {
        job.id = fmt::format("{:016x}", number);
        fixture.write({jobKey(job.id), encodeSubmittedJob(job)});
    }
}

std::size_t storedJobs(const ServiceFixture &fixture)
{
    const auto rows = fixture.store.snapshot();
    return static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), [](const Row &row) {
        return row.key.starts_with(progressPrefix);
    }));
}

} // namespace

TEST_CASE("While many jobs wait to be stored, a transaction follows at once on the one before")
{
    // Guards against one transaction for each planning pass: while passes take long, fewer jobs
    // were stored, and therefore started, than arrived (LOST).
    ServiceFixture fixture;
    submitJobs(fixture);
    REQUIRE(fixture.runUntil(15s, [&] { return storedJobs(fixture) > 0; }));
    // The store answers without a delay, and no planning pass has run since the first answer.
    CHECK(storedJobs(fixture) > jobCount - jobsPerTransaction);
}
