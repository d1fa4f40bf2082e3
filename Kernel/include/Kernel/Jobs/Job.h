#pragma once

#include <Kernel/Jobs/JobRows.h>
#include <LibStore/Transaction.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// In-memory state of one accepted job: the phase of each task, and the version of the durable
/// progress row.
class Job
{
public:
    struct Task
    {
        TaskPhase phase = TaskPhase::Blocked;
        std::uint64_t run = 0; ///< highest run number assigned so far
        std::string worker; ///< worker of the current run while the task is active
        std::vector<std::uint64_t> failedRuns; ///< numbers of the failed runs
        std::string checkpoint; ///< latest checkpoint; empty: none
        std::string avoidedWorker; ///< worker of the last failed or stalled run
        TimePoint activeSince; ///< when the current run was placed
    };

    struct Step
    {
        std::vector<Task> tasks;
        // Number of tasks in each phase; the others are blocked.
        unsigned ready = 0;
        unsigned active = 0;
        unsigned done = 0;
        unsigned waitingForQuota = 0; ///< of the ready tasks, when it was last looked at
        /// Workers on which runs have failed. Empty once a run has succeeded.
        std::set<std::string> failingWorkers;
        bool succeeded = false; ///< a run is done or, of a long-running task, in service
    };

    struct Occurrence
    {
        TimePoint dueAt; ///< default value: the job is not periodic
        std::vector<Step> steps;
    };

    /// What the scheduler expects of the tasks of a job, by the runtimes of earlier ones.
    struct ExpectedPath
    {
        TimePoint estimatedAt;
        std::uint64_t changes = 0; ///< of the job when it was estimated
        Duration objective{0}; ///< latency objective, by the settings of the queue
        Duration whole{0}; ///< runtime of the critical path
        Duration remaining{0}; ///< the same of the tasks that are not done
        /// Processor time of the tasks that have not started, in thousandths of a core times
        /// seconds, and the same of memory.
        double waitingMilliProcessorSeconds = 0;
        double waitingMegabyteSeconds = 0;
    };

    /// What the configuration says about the job.
    struct CurrentSettings
    {
        std::uint64_t configuration
            = 0; ///< number of the configuration that was looked at; 0: none
        const QueueSettings *queue = nullptr; ///< null: the queue is gone
        std::optional<std::size_t> organisation; ///< index in the list; nothing: none, or gone
    };

    /// Restores the job from \a progress, or creates a new job when there is none. \a now replaces
    /// the times that are not stored in the rows.
    Job(SubmittedJob submitted, const std::optional<JobProgress> &progress, TimePoint now);

    const SubmittedJob &submitted() const { return m_submitted; }
    const std::string &id() const { return m_submitted.id; }
    const StepSpecification &step(unsigned index) const
    {
        return m_submitted.specification.steps[index];
    }
    JobPhase phase() const { return m_phase; }
    /// Whether any step is long-running.
    bool longRunning() const { return m_longRunning; }
    /// Every task of the job reserves at least this much.
    const TaskSize &smallestTask() const { return m_smallestTask; }
    /// Whether any step requires a label of its workers.
    bool requiresLabel() const { return m_requiresLabel; }
    std::map<unsigned, Occurrence> &occurrences() { return m_occurrences; }
    const std::map<unsigned, Occurrence> &occurrences() const { return m_occurrences; }

    /// Starts the occurrences that are due, as long as the progress row of the job surely stays
    /// within the limit of the store. The others start when earlier ones have finished. Returns
    /// whether there were any.
    bool startDueOccurrences(TimePoint now);
    /// Due time of the next occurrence; nothing when none is left.
    std::optional<TimePoint> nextDueTime() const;

    Task *task(const TaskName &name);

    /// Next run number for all tasks of a gang, which always share one number.
    std::uint64_t nextGangRun(unsigned occurrence, unsigned step) const;
    void activate(const TaskName &name, std::uint64_t run, const std::string &worker,
                  TimePoint now);
    /// Returns an active task to the ready phase after its run ended or was not started.
    void makeReady(const TaskName &name);
    /// Marks the task, or its whole gang, as done and unblocks the steps that depend on it.
    void complete(const TaskName &name);
    /// Records a failed run; repeated calls for the same run have no effect. Returns the number of
    /// failed runs of the task or its gang.
    unsigned countFailure(const TaskName &name, std::uint64_t run);
    /// Records on which worker a run of the step has failed.
    void addFailingWorker(const TaskName &name, const std::string &worker);
    /// Records that a run of the step has succeeded.
    void markSucceeded(const TaskName &name);
    /// Number of workers on which runs of the step have failed; 0 once a run has succeeded.
    std::size_t failingWorkers(const TaskName &name) const;

    void finish(JobPhase phase);
    bool allDone() const;
    /// Whether a task of any step can be placed.
    bool hasReadyTasks() const { return m_readyTasks > 0; }
    /// Number of active tasks of a step on each worker.
    std::map<std::string, unsigned> activeByWorker(unsigned occurrence, unsigned step) const;

    /// Estimated runtime of the critical path of one occurrence.
    Duration criticalPathEstimate() const { return m_criticalPathEstimate; }
    JobProgress progress(TimePoint now) const;

    /// Version of the progress row; absentVersion before the first write.
    Version rowVersion = absentVersion;
    std::uint64_t changes = 0; ///< since the job was added
    std::uint64_t writtenChanges = 0; ///< in the row that is stored, or that is being written
    std::uint64_t storedChanges = 0; ///< in the row that is stored
    TimePoint receivedAt; ///< when this process first read the job
    /// Whether its organisation had not submitted more than its rate before; nothing until then.
    std::optional<bool> isInProfile;
    mutable CurrentSettings currentSettings; ///< for the scheduler
    mutable ExpectedPath expectedPath; ///< the latest estimate, for the scheduler
    bool started = false; ///< a worker confirmed a run, or a previous scheduler had placed one

private:
    /// Changes the phase of the task, and the counters of its step and of the job.
    void setPhase(Step &step, Task &task, TaskPhase phase);
    /// Makes the tasks of all steps ready whose dependencies are done.
    void unblockSteps(Occurrence &occurrence);
    Occurrence makeOccurrence(unsigned number) const;
    /// Whether the progress row has room for one more occurrence.
    bool hasRoomForOccurrence() const;
    void restore(const JobProgress &progress);
    /// Removes the occurrence when all its tasks are done.
    void closeFinishedOccurrence(unsigned number);
    TimePoint dueTime(unsigned occurrence) const;
    unsigned occurrenceCount() const;
    Duration criticalPath() const;
    void summariseSteps();

    SubmittedJob m_submitted;
    Duration m_criticalPathEstimate;
    // Of the steps, which never change. They are needed for each waiting job in each planning pass.
    bool m_longRunning = false;
    bool m_requiresLabel = false;
    TaskSize m_smallestTask;
    JobPhase m_phase = JobPhase::Queued;
    std::map<unsigned, Occurrence> m_occurrences; ///< started and unfinished, by number
    std::optional<unsigned> m_lastFinished; ///< highest number of a finished occurrence
    unsigned m_nextOccurrence = 0;
    unsigned m_readyTasks = 0; ///< of all occurrences
};

} // namespace Peridot::Jobs
