#include <Kernel/Jobs/WorkerRuns.h>
#include <catch2/catch.hpp>
#include <utility>

using namespace Peridot::Jobs;

// Guards against an order that is never sent, because the scheduler passes over the runs of a
// worker that have not changed.
TEST_CASE("Runs count as changed after every access through which an order can become due")
{
    const RunName name{{"job", 0, 0, 1}, 1};
    WorkerRuns runs;
    CHECK_FALSE(runs.mayHaveChanged());
    runs.add(name, {});
    REQUIRE(runs.mayHaveChanged());
    runs.settle();
    SECTION("another run is added")
    {
        runs.add({{"job", 0, 0, 2}, 1}, {});
        CHECK(runs.mayHaveChanged());
    }
    SECTION("a run is looked up to be changed")
    {
        CHECK(runs.find({{"job", 0, 0, 2}, 1}) == nullptr);
        CHECK_FALSE(runs.mayHaveChanged());
        REQUIRE(runs.find(name) != nullptr);
        CHECK(runs.mayHaveChanged());
    }
    SECTION("all runs are visited to be changed")
    {
        for (auto &[visited, run] : runs)
            run.phase = RunPhase::Stopping;
        CHECK(runs.mayHaveChanged());
    }
    SECTION("runs that are only read have not changed")
    {
        const WorkerRuns &read = runs;
        CHECK(read.find(name) != nullptr);
        CHECK(read.firstFrom({{"job", 0, 0, 0}, 0}) == read.begin());
        CHECK_FALSE(runs.mayHaveChanged());
    }
}
