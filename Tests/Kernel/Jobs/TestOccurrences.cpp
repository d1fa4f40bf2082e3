#include <Kernel/Jobs/Job.h>
#include <LibBase/Random.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t rowBytes = 65'536; // limit of the store
const std::string worker = "i-0123456789";

/// A periodic job of which all occurrences are due, and that is played with random ends of tasks
/// and takeovers.
class DueJob
{
public:
    DueJob(std::uint64_t seed, unsigned occurrences) : m_random(seed)
    {
        m_submitted.id = "0123456789abcdef";
        auto &specification = m_submitted.specification;
        specification.occurrences = occurrences;
        specification.firstDue = now - 24h;
        specification.interval = 100ms;
        specification.steps.resize(1 + m_random.below(3));
        for (auto &step : specification.steps)
            step.count = 1 + static_cast<unsigned>(m_random.below(60));
        for (unsigned step = 1; step < specification.steps.size(); ++step)
            specification.steps[step].after = {step - 1};
        m_job.emplace(m_submitted, std::nullopt, now);
    }

    void playStep()
    {
        m_job->startDueOccurrences(now);
        for (const auto &[number, occurrence] : m_job->occurrences())
            started.insert(number);
        mostOpen = std::max(mostOpen, m_job->occurrences().size());
        for (const TaskName &name : unfinishedTasks())
            playTask(name);
        row = encodeJobProgress(m_job->progress(now));
        if (m_random.below(20) == 0)
            m_job.emplace(m_submitted, parseJobProgress(row).value(), now);
    }

    bool allDone() const { return m_job->allDone(); }

    const TimePoint now{std::chrono::hours(1'000'000)};
    std::set<unsigned> started;
    std::size_t mostOpen = 0;
    std::string row;
    bool lastStepEnds = true;

private:
    std::vector<TaskName> unfinishedTasks() const
    {
        std::vector<TaskName> names;
        for (const auto &[number, occurrence] : m_job->occurrences()) {
            for (unsigned step = 0; step < occurrence.steps.size(); ++step) {
                for (unsigned index = 0; index < occurrence.steps[step].tasks.size(); ++index)
                    names.push_back({m_submitted.id, number, step, index});
            }
        }
        return names;
    }

    void playTask(const TaskName &name)
    {
        const Job::Task *task = m_job->task(name);
        if (task == nullptr)
            return; // its occurrence has finished
        const bool ends = lastStepEnds || name.step + 1 < m_submitted.specification.steps.size();
        if (task->phase == TaskPhase::Ready && m_random.below(2) == 0)
            m_job->activate(name, task->run + 1, worker, now);
        else if (task->phase == TaskPhase::Active && m_random.below(8) == 0)
            m_job->makeReady(name);
        else if (task->phase == TaskPhase::Active && ends && m_random.below(2) == 0)
            m_job->complete(name);
    }

    RandomSource m_random;
    SubmittedJob m_submitted;
    std::optional<Job> m_job;
};

} // namespace

TEST_CASE("The row of a job with many due occurrences stays within the limit of the store")
{
    // Guards against a row that grows with all occurrences of its job: the store refused it, and
    // the job was set aside for good (LOST).
    constexpr std::uint64_t seeds = 5;
    SECTION("while its occurrences end, each of them runs once")
    {
        constexpr unsigned occurrences = 60;
        for (std::uint64_t seed = 0; seed < seeds; ++seed) {
            DueJob job(seed, occurrences);
            while (!job.allDone()) {
                job.playStep();
                REQUIRE(job.row.size() <= rowBytes);
            }
            CHECK(job.started.size() == occurrences);
        }
    }
    SECTION("while none of its occurrences ends")
    {
        constexpr unsigned occurrences = 3000;
        constexpr unsigned steps = 25;
        for (std::uint64_t seed = 0; seed < seeds; ++seed) {
            DueJob job(seed, occurrences);
            job.lastStepEnds = false;
            for (unsigned step = 0; step < steps; ++step) {
                job.playStep();
                REQUIRE(job.row.size() <= rowBytes);
            }
            CHECK(job.mostOpen > 1);
        }
    }
}
