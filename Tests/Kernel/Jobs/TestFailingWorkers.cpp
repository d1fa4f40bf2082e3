#include "SchedulerFixture.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;
using namespace std::chrono_literals;

namespace {

/// Workers of four cores, each of which runs one task that lasts and is in service.
class BusyWorkers : public SchedulerFixture
{
public:
    explicit BusyWorkers(unsigned count)
    {
        std::vector<WorkerDescription> workers;
        for (unsigned index = 0; index < count; ++index)
            workers.push_back(worker(ids.emplace_back(1, static_cast<char>('a' + index))));
        scheduler.setWorkers(now, workers);
        for (const std::string &id : ids)
            answerPoll(id);
        StepSpecification lasting = stepOf(count);
        lasting.longRunning = true;
        lasting.maximumPerWorker = 1;
        submit("00000000000000aa", lasting);
        for (const auto &[id, runs] : startAll())
            m_lasting[id] = runs.front();
        for (const std::string &id : ids)
            report(id, {});
    }

    /// The worker reports that these runs have ended, and its lasting task.
    void report(const std::string &id, const std::vector<RunName> &ended,
                RunOutcome outcome = RunOutcome::Failed)
    {
        std::vector<EndedRun> ends;
        ends.reserve(ended.size());
        for (const RunName &run : ended)
            ends.push_back({++m_ends[id], run, outcome, {}});
        answerPoll(id, 1000, {{m_lasting.at(id), {}, 100, {}}}, ends);
    }

    /// Starts what can be placed, and ends it. Returns the number of runs by worker.
    std::map<std::string, unsigned> runAll(RunOutcome outcome = RunOutcome::Failed)
    {
        std::map<std::string, unsigned> counts;
        for (const auto &[id, names] : startAll()) {
            counts[id] = static_cast<unsigned>(names.size());
            report(id, names, outcome);
        }
        return counts;
    }

    /// Lets runs of several jobs fail on the only worker.
    void failJobs(unsigned jobs)
    {
        for (unsigned job = 0; job < jobs; ++job) {
            submit("00000000000000b" + std::to_string(job), stepOf(1));
            runAll();
        }
    }

    std::vector<std::string> ids;

private:
    std::map<std::string, RunName> m_lasting;
    std::map<std::string, std::uint64_t> m_ends;
};

} // namespace

TEST_CASE("A job that fails on all workers does not stop the other jobs of the service")
{
    // Guards against a service that starts nothing any more (LOST): its workers were taken for
    // faulty, and a worker with a task that lasts was never tried again.
    BusyWorkers fleet(4);
    fleet.submit("0000000000000001", SchedulerFixture::stepOf(12));
    CHECK(fleet.runAll().size() == 4);
    fleet.submit("0000000000000002", SchedulerFixture::stepOf(12));
    SECTION("they start at once, and no worker is quarantined")
    {
        fleet.planAndCommit();
        CHECK(fleet.starts.size() == 12);
    }
    SECTION("also after the job has used up its attempts")
    {
        for (int attempt = 0; attempt < 3; ++attempt)
            fleet.runAll();
        fleet.submit("0000000000000003", SchedulerFixture::stepOf(12));
        fleet.planAndCommit();
        CHECK(fleet.starts.size() == 12);
    }
}

TEST_CASE("A worker that fails the runs of several jobs is tried again beside its lasting task")
{
    BusyWorkers fleet(1);
    fleet.failJobs(3);
    fleet.submit("0000000000000001", SchedulerFixture::stepOf(3));
    fleet.planAndCommit();
    CHECK(fleet.starts.empty());
    fleet.now += 2s;
    SECTION("one run succeeds, and the others start")
    {
        CHECK(fleet.runAll(RunOutcome::Done).at("a") == 1);
        CHECK(fleet.runAll(RunOutcome::Done).at("a") == 3);
    }
    SECTION("as long as runs fail, it gets one in two seconds")
    {
        for (int probe = 0; probe < 3; ++probe) {
            CHECK(fleet.runAll().at("a") == 1);
            CHECK(fleet.runAll().empty());
            fleet.now += 2s;
        }
    }
    SECTION("a run that takes long does not keep it from being tried again")
    {
        fleet.planAndCommit();
        fleet.acceptStarts();
        fleet.now += 2s;
        fleet.planAndCommit();
        CHECK(fleet.starts.size() == 1);
    }
}

TEST_CASE("A gang starts although too many workers are quarantined")
{
    // Guards against a gang that never starts: each quarantined worker counted as one free place.
    BusyWorkers fleet(1);
    fleet.failJobs(3);
    fleet.now += 2s;
    StepSpecification gang = SchedulerFixture::stepOf(3);
    gang.gang = true;
    fleet.scheduler.cancelJob(fleet.now, "00000000000000b0");
    fleet.scheduler.cancelJob(fleet.now, "00000000000000b1");
    fleet.scheduler.cancelJob(fleet.now, "00000000000000b2");
    fleet.submit("0000000000000001", gang);
    fleet.planAndCommit();
    CHECK(fleet.starts.size() == 3);
}

TEST_CASE("A worker that fails all runs gets few, although the jobs succeed elsewhere")
{
    BusyWorkers fleet(3);
    unsigned failed = 0;
    for (int round = 0; round < 10; ++round) {
        fleet.submit("000000000000001" + std::to_string(round), SchedulerFixture::stepOf(9));
        for (int wave = 0; wave < 3; ++wave) {
            auto runs = fleet.startAll();
            failed += static_cast<unsigned>(runs["a"].size());
            fleet.report("a", runs["a"], RunOutcome::Failed);
            fleet.report("b", runs["b"], RunOutcome::Done);
            fleet.report("c", runs["c"], RunOutcome::Done);
        }
        fleet.now += 200ms;
    }
    CHECK(failed <= 3 + 1); // until it is quarantined, and one probe in two seconds
}
