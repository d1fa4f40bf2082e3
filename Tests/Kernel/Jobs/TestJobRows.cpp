#include <Kernel/Jobs/JobRows.h>
#include <Kernel/Jobs/SpecificationCheck.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

SubmittedJob fullJob()
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

ErrorCode checkCode(const JobSpecification &specification)
{
    return valueOrElse(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(checkSpecification(specification));
            return ErrorCode::NotFound; // stands for no error
        },
        [](const Error &error) { return error.code; });
}

} // namespace

TEST_CASE("A successor reads the rows that its predecessor wrote")
{
    SECTION("a submitted job with every member")
    {
        CHECK(parseSubmittedJob(encodeSubmittedJob(fullJob())).value() == fullJob());
    }
    SECTION("the progress of its tasks")
    {
        JobProgress progress;
        progress.phase = JobPhase::Running;
        progress.changedAt = fromUnixMilliseconds(1700000000999);
        progress.finishedOccurrences = {0, 2};
        progress.occurrences
            = {{1, {{{true, {}, {}, 1, {}}, {false, {1, 2}, "saved", 3, "worker"}}}}};
        CHECK(parseJobProgress(encodeJobProgress(progress)).value() == progress);
    }
    SECTION("rows of another writer are refused and not guessed at")
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

TEST_CASE("Specifications that can't be scheduled are refused with the member at fault")
{
    JobSpecification specification = fullJob().specification;
    REQUIRE(checkCode(specification) == ErrorCode::NotFound);
    SECTION("no step")
    {
        specification.steps.clear();
    }
    SECTION("a step without tasks")
    {
        specification.steps[0].count = 0;
    }
    SECTION("more tasks than a row holds")
    {
        specification.steps[0].count = 1'000'000;
        CHECK(checkCode(specification) == ErrorCode::LimitExceeded);
    }
    SECTION("a dependency on itself or a later step")
    {
        specification.steps[0].after = {1};
        CHECK(checkCode(specification) == ErrorCode::UnknownReference);
        specification.steps[0].after = {0};
        CHECK(checkCode(specification) == ErrorCode::UnknownReference);
    }
    SECTION("a payload over the limit")
    {
        specification.payload.assign(maximumPayloadBytes + 1, 'x');
        CHECK(checkCode(specification) == ErrorCode::LimitExceeded);
    }
    SECTION("a negative size")
    {
        specification.steps[0].size.megabytes = -1;
    }
    CHECK(checkCode(specification) != ErrorCode::NotFound);
}

TEST_CASE("Task names and job ids")
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
