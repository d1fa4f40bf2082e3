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

struct WorldFaults
{
    double lostAnswers = 0; ///< share of orders that are carried out and not answered
    double lateOrders = 0; ///< share of orders that are carried out seconds later, unanswered
    double failedRuns = 0.02; ///< share of runs that end as failed
    double lostCommits = 0; ///< share of transactions that take effect unanswered
    double refusedCommits = 0; ///< share of transactions that the store refuses
    bool crashes = false; ///< workers crash, and come back in another life
    bool cuts = false; ///< workers run on, unreachable
    bool takeovers = false; ///< schedulers are replaced, and go on for a while unknowingly
    bool cancels = false;
};

/// Workers, a store and schedulers on one fake clock. The workers keep their own record of every
/// start and end, and check the rules on it: they share no code with the scheduler.
class JobWorld
{
public:
    JobWorld(std::uint64_t seed, WorldFaults faults, SchedulerDefects defects = {});

    /// Accepts jobs for \a busy, lets faults end, and runs until \a quiet later.
    void run(Duration busy, Duration quiet);

    const std::vector<std::string> &violations() const { return m_violations; }
    unsigned acceptedJobs() const { return static_cast<unsigned>(m_jobs.size()); }
    unsigned completedJobs() const;
    /// Of the jobs that were accepted, and of the starts and ends of their runs.
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
        bool noted = false; ///< the acknowledgement has reached it
    };
    struct SimulatedWorker
    {
        WorkerDescription description;
        bool up = true;
        bool reachable = true;
        TimePoint startedAt;
        double clockRate = 1; ///< at least 0.98
        std::uint64_t fence = 0;
        WorkerClock leaseEnd = 0;
        std::map<RunName, SimulatedRun> runs;
        std::map<TaskName, std::uint64_t> highestEnded; ///< runs that ended or were stopped
        std::vector<SimulatedEnd> ends;
        std::uint64_t acknowledged = 0;
    };
    struct SimulatedJob
    {
        SubmittedJob submitted;
        std::optional<TimePoint> cancelledAt;
        std::set<TaskName> done;
        std::map<TaskName, unsigned> notedFailures;
        std::set<TaskName> notedDone;
    };
    struct Leader
    {
        std::unique_ptr<JobScheduler> scheduler;
        TimePoint until; ///< dropped then
        bool alive = true;
    };

    void at(TimePoint time, std::function<void()> event);
    bool chance(double probability);
    Duration between(Duration least, Duration most);
    WorkerClock clockOf(const SimulatedWorker &worker) const;
    void setStoreFaults(double lost, double refused);
    /// A transaction of another process, which is not subject to the faults.
    void commitSurely(const Transaction &transaction);
    void submitJob();
    void scheduleFaults(TimePoint until);
    void newLeader();
    void tick(const std::shared_ptr<Leader> &leader);
    void drive(const std::shared_ptr<Leader> &leader);
    void listWorkers(Leader &leader);
    template <typename Order, typename Reply>
    void deliver(const std::shared_ptr<Leader> &leader, const Order &order,
                 std::function<Reply(SimulatedWorker &)> carryOut,
                 void (JobScheduler::*answered)(TimePoint, const Order &, const Reply &));
    SchedulerHooks hooksFor(const std::weak_ptr<Leader> &leader);
    OrderReply start(SimulatedWorker &worker, const StartOrder &order);
    OrderReply stop(SimulatedWorker &worker, const StopOrder &order);
    LookReply look(SimulatedWorker &worker, const LookOrder &order);
    void extend(SimulatedWorker &worker, WorkerClock leaseEnd);
    void endRun(SimulatedWorker &worker, const RunName &name, RunEnd how);
    void expire(SimulatedWorker &worker);
    void checkStart(const SimulatedWorker &worker, const RunName &name);
    void violation(const std::string &rule, const std::string &detail);
    void note(const std::string &event);

    RandomSource m_random;
    EventDigest m_digest;
    WorldFaults m_faults;
    SchedulerDefects m_defects;
    MemoryStore m_store;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, SimulatedWorker> m_workers;
    std::map<std::string, SimulatedJob> m_jobs;
    std::shared_ptr<Leader> m_leader;
    std::uint64_t m_epoch = 0;
    bool m_calm = false;
    std::vector<std::string> m_violations;
};

} // namespace Peridot::Jobs::Test
