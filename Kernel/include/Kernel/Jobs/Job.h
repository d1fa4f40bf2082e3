#pragma once

#include <Kernel/Jobs/JobRows.h>
#include <LibStore/Transaction.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// One accepted job while it is scheduled: the phases of its tasks and what of it is durable.
class Job
{
public:
    struct Task
    {
        TaskPhase phase = TaskPhase::Blocked;
        std::uint64_t run = 0; ///< highest number given to a run
        std::string worker; ///< of the current run while the task is active
        std::vector<std::uint64_t> failedRuns;
        std::string saved;
        std::string avoidedWorker; ///< where the last run failed
        TimePoint activeSince; ///< the current run was chosen
    };

    struct Step
    {
        std::vector<Task> tasks;
        unsigned ready = 0;
        unsigned active = 0;
        unsigned done = 0;
    };

    struct Occurrence
    {
        TimePoint dueAt;
        std::vector<Step> steps;
    };

    /// A job without progress is new. \a now is used for times that the rows don't hold.
    Job(SubmittedJob submitted, const std::optional<JobProgress> &progress, TimePoint now);

    const SubmittedJob &submitted() const { return m_submitted; }
    const std::string &id() const { return m_submitted.id; }
    const StepSpecification &step(unsigned index) const
    {
        return m_submitted.specification.steps[index];
    }
    JobPhase phase() const { return m_phase; }
    bool longRunning() const;
    std::map<unsigned, Occurrence> &occurrences() { return m_occurrences; }
    const std::map<unsigned, Occurrence> &occurrences() const { return m_occurrences; }

    /// Begins the occurrences that are due. Returns whether there were any.
    bool beginDue(TimePoint now);
    /// When the next occurrence is due, if one is left.
    std::optional<TimePoint> nextDue() const;

    Task *task(const TaskName &name);

    /// All tasks of a gang get the same next run number.
    std::uint64_t nextGangRun(unsigned occurrence, unsigned step) const;
    void activate(const TaskName &name, std::uint64_t run, const std::string &worker,
                  TimePoint now);
    /// The current run is over or never began.
    void makeReady(const TaskName &name);
    /// Completes the task, and its gang; opens the steps that waited for it.
    void complete(const TaskName &name);
    /// Counts a failed run once. Returns the number of failed runs of the task or its gang.
    unsigned countFailure(const TaskName &name, std::uint64_t run);

    void finish(JobPhase phase);
    bool allDone() const;
    /// Active tasks of a step by the worker that runs them.
    std::map<std::string, unsigned> activeByWorker(unsigned occurrence, unsigned step) const;

    /// Longest chain of estimated work of one occurrence.
    Duration chainEstimate() const { return m_chainEstimate; }
    JobProgress progress(TimePoint now) const;

    /// Version of the progress row; absentVersion before the first write.
    Version rowVersion = absentVersion;
    TimePoint seenAt; ///< when this process first learned of the job
    bool begun = false; ///< a worker has confirmed a run, or an earlier scheduler had placed one

private:
    void setPhase(Step &step, Task &task, TaskPhase phase);
    void openSteps(Occurrence &occurrence);
    Occurrence makeOccurrence(unsigned number) const;
    void restore(const JobProgress &progress);
    void closeFinishedOccurrence(unsigned number);
    TimePoint dueTime(unsigned occurrence) const;
    unsigned occurrenceCount() const;
    Duration longestChain() const;

    SubmittedJob m_submitted;
    Duration m_chainEstimate;
    JobPhase m_phase = JobPhase::Queued;
    std::map<unsigned, Occurrence> m_occurrences; ///< begun and not finished
    std::set<unsigned> m_finished;
    unsigned m_nextOccurrence = 0;
};

} // namespace Peridot::Jobs
