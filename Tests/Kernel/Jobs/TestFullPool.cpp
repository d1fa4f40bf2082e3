#include "SchedulerFixture.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

/// A worker with room for one more task of one processor, and a job that needs two.
class FullPool : public SchedulerFixture
{
public:
    FullPool()
    {
        scheduler.setWorkers(now, {worker("w")});
        answerPoll("w");
        submit("0000000000000001", stepOf(3));
        startAll();
        submit("0000000000000002", large());
    }

    static StepSpecification large()
    {
        StepSpecification step = stepOf(1);
        step.size.milliProcessors = 2000;
        return step;
    }

    /// Steps that started with the next pass, of the job 3.
    std::vector<unsigned> startedSteps()
    {
        std::vector<unsigned> steps;
        for (const auto &[id, runs] : startAll()) {
            for (const RunName &run : runs) {
                CHECK(run.task.job == "0000000000000003");
                steps.push_back(run.task.step);
            }
        }
        return steps;
    }

    void submitSteps(const std::vector<StepSpecification> &steps)
    {
        now += 1ms;
        SubmittedJob job;
        job.id = "0000000000000003";
        job.queue = queue;
        job.specification.steps = steps;
        scheduler.addJob(now, job, std::nullopt, absentVersion);
    }
};

} // namespace

// Guards against jobs that are passed over because an earlier one is too large, although one of
// their tasks fits.
TEST_CASE("What fits starts behind a job that is too large for what is left")
{
    FullPool pool;
    SECTION("a smaller job")
    {
        pool.submitSteps({SchedulerFixture::stepOf(1)});
        CHECK(pool.startedSteps() == std::vector<unsigned>{0});
    }
    SECTION("the smaller one of two steps")
    {
        pool.submitSteps({FullPool::large(), SchedulerFixture::stepOf(1)});
        CHECK(pool.startedSteps() == std::vector<unsigned>{1});
    }
    SECTION("a best-effort step, which reserves no processor")
    {
        StepSpecification step = FullPool::large();
        step.bestEffort = true;
        pool.submitSteps({FullPool::large(), step});
        CHECK(pool.startedSteps() == std::vector<unsigned>{1});
    }
    SECTION("nothing when all steps are as large")
    {
        pool.submitSteps({FullPool::large(), FullPool::large()});
        CHECK(pool.startedSteps().empty());
    }
}
