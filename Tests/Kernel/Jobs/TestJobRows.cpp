#include <Kernel/Jobs/JobRows.h>
#include <Kernel/Jobs/SpecificationCheck.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

SubmittedJob jobWithAllMembers()
{
    SubmittedJob job;
    job.id = "0123456789abcdef";
    job.acceptedAt = fromUnixMilliseconds(1700000000123);
    job.queue = {"checks", {}, {}, "pool", 1, 3, 1.6, 600ms};
    job.specification = {"payload", {}, 4, fromUnixMilliseconds(1700000001000), 3s};
    StepSpecification step;
    step.count = 5;
    step.size = {1800, 5100, 1};
    step.estimatedRuntime = 800ms;
    step.savesCheckpoints = true;
    step.gang = true;
    step.sameRack = true;
    step.requiredLabel = "a";
    step.affinityRack = "r1";
    step.maximumPerWorker = 2;
    step.image = "image";
    step.latencyTarget = 40ms;
    step.maximumUnavailable = 1;
    job.specification.steps = {step, step};
    job.specification.steps[1].after = {0};
    job.specification.steps[1].longRunning = true;
    return job;
}

ErrorCode errorCodeOf(const JobSpecification &specification)
{
    return valueOrElse(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(checkSpecification(specification));
            return ErrorCode::NotFound; // means that there was no error
        },
        [](const Error &error) { return error.code; });
}

} // namespace

TEST_CASE("Job and progress rows are parsed to the values from which they were encoded")
{
    SECTION("a submitted job with every member")
    {
        CHECK(parseSubmittedJob(encodeSubmittedJob(jobWithAllMembers())).value()
              == jobWithAllMembers());
    }
    SECTION("the progress of a running job")
    {
        JobProgress progress;
        progress.phase = JobPhase::Running;
        progress.changedAt = fromUnixMilliseconds(1700000000999);
        progress.lastFinishedOccurrence = 2;
        progress.occurrences
            = {{1, {{{true, {}, {}, 1, {}}, {false, {1, 2}, "saved", 3, "worker"}}}}};
        const std::string text = encodeJobProgress(progress);
        CHECK(parseJobProgress(text).value() == progress);
        // The text is written without a tree of values, and is the same as that of earlier
        // versions.
        CHECK(text
              == R"({"changed_ms":1700000000999,"finished":[2],"occurrences":[{"number":1,"steps":)"
                 R"([[{"done":true,"run":1},{"failed_runs":[1,2],"run":3,"saved":"saved",)"
                 R"("worker":"worker"}]]}],"phase":"running"})");
    }
    SECTION("rows with missing members or members of another type are refused")
    {
        for (const char *text : {"", "[]", "{}", R"({"steps":[1]})", R"({"id":1,"steps":[]})",
                                 R"({"id":"a","steps":[{"count":"x"}]})"}) {
            const bool parsed = valueOrElse(
                [&]() -> Result<bool> {
                    BOOST_LEAF_CHECK(parseSubmittedJob(text));
                    return true;
                },
                [](const Error &) { return false; });
            CHECK_FALSE(parsed);
        }
    }
}

TEST_CASE("Specifications that cannot be scheduled are refused")
{
    JobSpecification specification = jobWithAllMembers().specification;
    REQUIRE(errorCodeOf(specification) == ErrorCode::NotFound);
    SECTION("no step")
    {
        specification.steps.clear();
    }
    SECTION("a step without tasks")
    {
        specification.steps[0].count = 0;
    }
    SECTION("more tasks than a progress row can hold")
    {
        specification.steps[0].count = 1'000'000;
        CHECK(errorCodeOf(specification) == ErrorCode::LimitExceeded);
    }
    SECTION("a dependency on itself or a later step")
    {
        specification.steps[0].after = {1};
        CHECK(errorCodeOf(specification) == ErrorCode::UnknownReference);
        specification.steps[0].after = {0};
        CHECK(errorCodeOf(specification) == ErrorCode::UnknownReference);
    }
    SECTION("a payload above the size limit")
    {
        specification.payload.assign(maximumPayloadBytes + 1, 'x');
        CHECK(errorCodeOf(specification) == ErrorCode::LimitExceeded);
    }
    SECTION("a negative size")
    {
        specification.steps[0].size.megabytes = -1;
    }
    CHECK(errorCodeOf(specification) != ErrorCode::NotFound);
}

TEST_CASE("Task names and job ids are parsed strictly")
{
    const TaskName name{"0123456789abcdef", 2, 1, 17};
    CHECK(name.text() == "0123456789abcdef.2.1.17");
    CHECK(TaskName::parse(name.text()) == name);
    for (const char *text : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a.1.2.-3"})
        CHECK_FALSE(TaskName::parse(text));
    CHECK(isJobId("0123456789abcdef"));
    CHECK_FALSE(isJobId("0123456789abcde"));
    CHECK_FALSE(isJobId("0123456789abcdeg"));
}
