#pragma once

#include <EventDigest.h>
#include <Kernel/Jobs/JobScheduler.h>
#include <LibBase/Random.h>
#include <LibStore/MemoryStore.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Peridot::Jobs::Test {

struct InjectedFaults
{
    double lostReplies = 0; ///< share of orders that are carried out but not answered
    double delayedOrders = 0; ///< share of orders that arrive seconds later and are not answered
    double failedRuns = 0.02; ///< share of runs that end as failed
    /// Share of transactions that take effect but are not answered.
    double unansweredCommits = 0;
    double refusedCommits = 0; ///< share of transactions that the store refuses
    bool crashes = false; ///< workers crash and restart as new incarnations
    /// Workers start again under their ids within a second, and the list shows it up to 500 ms
    /// late.
    bool restarts = false;
    /// Workers become unreachable and keep running; with restarts, soon after they have started
    /// again.
    bool partitions = false;
    bool takeovers = false; ///< schedulers are replaced, and keep running for a while
    bool cancellations = false; ///< some jobs are cancelled
    bool longRuns = false; ///< some runs last longer than a lease
    bool quotas = false; ///< jobs belong to two organisations, one of which has a small quota
};

/// Simulates workers, a store and schedulers on one virtual clock. The simulated workers record
/// every start and end, and check the invariants on these records. They share no code with the
/// scheduler.
class JobSimulation
{
public:
    JobSimulation(std::uint64_t seed, InjectedFaults faults, SchedulerDefects defects = {});

    /// Submits jobs and injects faults for \a loadDuration, then runs without new jobs and faults
    /// for \a drainDuration.
    void run(Duration loadDuration, Duration drainDuration);

    const std::vector<std::string> &violations() const { return m_violations; }
    unsigned acceptedJobs() const { return static_cast<unsigned>(m_jobs.size()); }
    unsigned completedJobs() const;
    /// Digest of the accepted jobs and of the starts and ends of their runs.
    std::uint64_t digest() const { return m_digest.value(); }

private:
    struct SimulatedRun
    {
        TaskSize size;
        TimePoint endsAt;
        bool fails = false;
    };
    struct SimulatedEnd
    {
        EndedRun end;
        bool acknowledgementReceived = false; ///< the scheduler acknowledged the end
    };
    struct SimulatedWorker
    {
        WorkerDescription description;
        bool up = true;
        bool reachable = true;
        TimePoint startedAt;
        double clockRate = 1; ///< at least 0.98
        std::uint64_t highestEpoch = 0; ///< highest fencing epoch in an order
        WorkerClock leaseEnd = 0;
        std::map<RunName, SimulatedRun> runs;
        std::map<TaskName, std::uint64_t> highestEnded; ///< runs that ended or were stopped
        std::vector<SimulatedEnd> ends;
        /// Ended runs up to this number are not reported again.
        std::uint64_t highestAcknowledged = 0;
    };
    struct SimulatedJob
    {
        SubmittedJob submitted;
        std::optional<TimePoint> cancelledAt;
        std::set<TaskName> done; ///< tasks with a run that ended as done
        std::map<TaskName, unsigned> acknowledgedFailures; ///< number of failed runs
        std::set<TaskName> acknowledgedDone;
    };
    struct SchedulerInstance
    {
        std::unique_ptr<JobScheduler> scheduler;
        TimePoint until; ///< unused
        bool running = true; ///< still receives events
    };

    /// Runs \a event at \a time on the virtual clock.
    void scheduleAt(TimePoint time, std::function<void()> event);
    /// Returns true with this probability.
    bool chance(double probability);
    Duration randomDuration(Duration minimum, Duration maximum);
    WorkerClock clockOf(const SimulatedWorker &worker) const;
    void setStoreFaults(double unanswered, double refused);
    /// Commits a transaction of another process, to which no faults apply.
    void commitWithoutFaults(const Transaction &transaction);
    void submitJob();
    void scheduleFaults(TimePoint until);
    /// Starts a scheduler with the next epoch from the rows of the store.
    void startScheduler();
    void tick(const std::shared_ptr<SchedulerInstance> &instance);
    /// Lets the scheduler plan, and commits its next transaction.
    void planAndCommit(const std::shared_ptr<SchedulerInstance> &instance);
    void listWorkers(SchedulerInstance &instance);
    /// Takes the registrations of the workers that are up as the list.
    void updateList();
    /// The worker is unreachable from a time on, and keeps running.
    void cutOff(SimulatedWorker &worker, TimePoint from);
    /// The worker crashes, and starts again under its id after \a downtime.
    void restart(SimulatedWorker &worker, Duration downtime);
    /// Delivers \a order to its worker and the reply to the scheduler, with delays and faults.
    template <typename Order, typename Reply>
    void deliver(const std::shared_ptr<SchedulerInstance> &instance, const Order &order,
                 std::function<Reply(SimulatedWorker &)> execute,
                 void (JobScheduler::*handleReply)(TimePoint, const Order &, const Reply &));
    SchedulerHooks makeHooks(const std::weak_ptr<SchedulerInstance> &instance);
    OrderReply start(SimulatedWorker &worker, const StartOrder &order);
    OrderReply stop(SimulatedWorker &worker, const StopOrder &order);
    PollReply poll(SimulatedWorker &worker, const PollOrder &order);
    void raiseLeaseEnd(SimulatedWorker &worker, WorkerClock leaseEnd);
    void endRun(SimulatedWorker &worker, const RunName &name, RunOutcome outcome);
    void endRunsOfExpiredLease(SimulatedWorker &worker);
    /// Checks the invariants that a start of the run must not violate.
    void checkStart(const SimulatedWorker &worker, const RunName &name);
    /// Checks that what its organisation has running is within a tenth above the quota before the
    /// start.
    void checkQuota(const RunName &name);
    void violation(const std::string &rule, const std::string &detail);
    void recordEvent(const std::string &event);

    RandomSource m_random;
    EventDigest m_digest;
    InjectedFaults m_faults;
    SchedulerDefects m_defects;
    MemoryStore m_store;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, SimulatedWorker> m_workers;
    std::vector<WorkerDescription> m_list; ///< registrations of workers
    TimePoint m_listUpdatedAt;
    std::map<std::string, SimulatedJob> m_jobs;
    std::shared_ptr<SchedulerInstance> m_instance;
    std::uint64_t m_epoch = 0;
    bool m_faultsEnded = false; ///< never set, so that no start after a cancellation is detected
    std::vector<std::string> m_violations;
};

} // namespace Peridot::Jobs::Test
