// What decides in which order waiting jobs start.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>

namespace Peridot::Jobs {

namespace {

// A result is late after this multiple of the latency objective, and of no use.
constexpr int latestObjectives = 3;
// Tasks of different sizes leave some capacity unused.
constexpr double usableFraction = 0.9;
// Runtimes are predicted from some hundred tasks, which change little in this time.
constexpr std::chrono::seconds estimateValidity{1};
// On average, half of the runtime of a task that runs has passed.
constexpr double remainingPart = 0.5;

double shareOf(double amount, std::int64_t capacity)
{
    return capacity > 0 ? amount / static_cast<double>(capacity) : 0;
}

/// Largest share of any resource.
double shareOf(const TaskSize &size, const TaskSize &capacity)
{
    return std::max({shareOf(static_cast<double>(size.milliProcessors), capacity.milliProcessors),
                     shareOf(static_cast<double>(size.megabytes), capacity.megabytes),
                     shareOf(static_cast<double>(size.accelerators), capacity.accelerators)});
}

/// Whole microseconds, so that the order does not depend on how a machine rounds fractions.
Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
}

Duration objectiveOf(const Job::ExpectedPath &path, const QueueSettings &queue)
{
    return std::chrono::duration_cast<Duration>(path.whole * queue.stretch)
           + queue.latencyAllowance;
}

TimePoint waitingSince(const Job &job)
{
    const TimePoint dueAt = job.occurrences().begin()->second.dueAt;
    return dueAt == TimePoint{} ? job.receivedAt : dueAt;
}

} // namespace

bool JobScheduler::isLate(TimePoint now, const Job &job) const
{
    if (job.longRunning() || job.occurrences().empty())
        return false;
    const Job::ExpectedPath &path = estimate(now, job);
    return now > waitingSince(job) + objectiveOf(path, queueOf(job)) - path.remaining;
}

std::map<std::string, JobScheduler::PoolQueue>
JobScheduler::queuesByPool(TimePoint now, const WorkersByPool &workers)
{
    std::map<std::string, PoolQueue> queues;
    std::map<std::string, TaskSize> reserved;
    for (const auto &[pool, members] : workers) {
        for (const Worker *worker : members) {
            queues[pool].capacity = plus(queues[pool].capacity, worker->description.capacity);
            reserved[pool] = plus(reserved[pool], worker->runs.reserved());
        }
    }
    for (auto &[id, job] : m_jobs) {
        if (!job.hasReadyTasks() || m_refusedJobs.contains(id))
            continue;
        const QueueSettings &settings = queueOf(job);
        PoolQueue &queue = queues[settings.pool];
        queue.jobs.push_back(waitingJob(now, job, settings, queue.capacity));
    }
    std::erase_if(queues, [](const auto &entry) { return entry.second.jobs.empty(); });
    for (auto &[pool, queue] : queues) {
        Duration runtimes{0};
        for (const WaitingJob &waiting : queue.jobs)
            runtimes += waiting.job->expectedPath.whole
                        / static_cast<Duration::rep>(
                            waiting.job->submitted().specification.steps.size());
        const double mean = toSeconds(runtimes) / static_cast<double>(queue.jobs.size());
        queue.busyTime
            = fromSeconds(mean * remainingPart * shareOf(reserved[pool], queue.capacity));
    }
    return queues;
}

WaitingJob JobScheduler::waitingJob(TimePoint now, Job &job, const QueueSettings &settings,
                                    const TaskSize &poolCapacity) const
{
    const Job::ExpectedPath &path = estimate(now, job);
    const Duration objective = objectiveOf(path, settings);
    WaitingJob waiting;
    waiting.job = &job;
    if (!job.requiresLabel())
        waiting.smallestTask = job.smallestTask();
    waiting.priority = settings.priority;
    waiting.isInProfile = job.isInProfile.value_or(true);
    if (!waiting.isInProfile)
        waiting.weightedShare = weightedShareOf(job.submitted().organisation);
    waiting.isLongRunning = job.longRunning();
    waiting.waitingSince = waitingSince(job);
    waiting.latestStart = waiting.waitingSince + objective - path.remaining;
    waiting.latestUsefulStart
        = waiting.waitingSince + objective * latestObjectives - path.remaining;
    if (!waiting.isLongRunning)
        waiting.poolTime = fromSeconds(
            std::max(shareOf(path.waitingMilliProcessorSeconds, poolCapacity.milliProcessors),
                     shareOf(path.waitingMegabyteSeconds, poolCapacity.megabytes))
            / usableFraction);
    return waiting;
}

const Job::ExpectedPath &JobScheduler::estimate(TimePoint now, const Job &job) const
{
    Job::ExpectedPath &path = job.expectedPath;
    if (path.changes == job.changes && now < path.estimatedAt + estimateValidity)
        return path;
    path = {};
    path.estimatedAt = now;
    path.changes = job.changes;
    const auto &steps = job.submitted().specification.steps;
    const Job::Occurrence &occurrence = job.occurrences().begin()->second;
    std::vector<Duration> wholeEnds(steps.size(), Duration{0});
    std::vector<Duration> remainingEnds(steps.size(), Duration{0});
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const StepSpecification &step = steps[index];
        const Job::Step &state = occurrence.steps[index];
        const Duration runtime = fromSeconds(toSeconds(expectedRuntime(job, step)));
        const auto waiting = static_cast<double>(state.tasks.size() - state.active - state.done);
        const bool isDone = state.done == state.tasks.size();
        const double part = waiting > 0 ? 1 : remainingPart;
        for (const unsigned dependency : step.after) {
            wholeEnds[index] = std::max(wholeEnds[index], wholeEnds[dependency]);
            remainingEnds[index] = std::max(remainingEnds[index], remainingEnds[dependency]);
        }
        wholeEnds[index] += runtime;
        remainingEnds[index] += isDone ? Duration{0} : fromSeconds(toSeconds(runtime) * part);
        path.whole = std::max(path.whole, wholeEnds[index]);
        path.remaining = std::max(path.remaining, remainingEnds[index]);
        const TaskSize size = reservedSize(step);
        const double taskSeconds = waiting * toSeconds(runtime);
        path.waitingMilliProcessorSeconds
            += static_cast<double>(size.milliProcessors) * taskSeconds;
        path.waitingMegabyteSeconds += static_cast<double>(size.megabytes) * taskSeconds;
    }
    return path;
}

void JobScheduler::assignProfiles()
{
    std::vector<Job *> jobs;
    for (const std::string &id : m_unprofiledJobs) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end())
            jobs.push_back(&found->second);
    }
    m_unprofiledJobs.clear();
    // A successor gets all jobs at once, so that the times in their rows count.
    const auto submittedAt = [](const Job &job) {
        return std::min(job.submitted().acceptedAt, job.receivedAt);
    };
    std::sort(jobs.begin(), jobs.end(), [&](const Job *left, const Job *right) {
        return submittedAt(*left) < submittedAt(*right);
    });
    for (Job *job : jobs) {
        const auto *organisation = m_configuration->organisation(job->submitted().organisation);
        if (organisation != nullptr)
            job->isInProfile = m_profiles.admit(submittedAt(*job), *organisation);
    }
}

double JobScheduler::weightedShareOf(const std::string &organisation) const
{
    const auto *settings = m_configuration->organisation(organisation);
    const double weight = settings == nullptr || settings->weight <= 0 ? 1 : settings->weight;
    return shareOf(m_usage.inUse(organisation), m_capacity) / weight;
}

} // namespace Peridot::Jobs
