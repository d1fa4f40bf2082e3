// What decides in which order waiting jobs start.

#include "SchedulerLimits.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <algorithm>
#include <unordered_map>

namespace Peridot::Jobs {

namespace {

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

TaskSize largest(const TaskSize &left, const TaskSize &right)
{
    return {std::max(left.milliProcessors, right.milliProcessors),
            std::max(left.megabytes, right.megabytes),
            std::max(left.accelerators, right.accelerators)};
}

TaskSize smallest(const TaskSize &left, const TaskSize &right)
{
    return {std::min(left.milliProcessors, right.milliProcessors),
            std::min(left.megabytes, right.megabytes),
            std::min(left.accelerators, right.accelerators)};
}

/// Whole microseconds, so that the order does not depend on how a machine rounds fractions.
Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
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
    return now > waitingSince(job) + path.objective - path.remaining;
}

bool JobScheduler::hasWaitingJobs() const
{
    return std::any_of(m_jobs.begin(), m_jobs.end(),
                       [](const auto &entry) { return entry.second.hasReadyTasks(); });
}

std::map<std::string, JobScheduler::PoolQueue>
JobScheduler::queuesByPool(TimePoint now, const WorkersByPool &workers)
{
    std::map<std::string, PoolQueue> queues;
    for (const auto &[pool, members] : workers)
        queues.emplace(pool, emptyQueue(members));
    std::unordered_map<const QueueSettings *, PoolQueue *> queueOfSettings;
    for (auto &[id, job] : m_jobs) {
        if (!job.hasReadyTasks() || m_refusedJobs.contains(id))
            continue;
        const QueueSettings &settings = queueOf(job);
        const auto [known, isNew] = queueOfSettings.try_emplace(&settings, nullptr);
        if (isNew) {
            const auto found = queues.find(settings.pool);
            known->second = found == queues.end() ? nullptr : &found->second;
        }
        PoolQueue *queue = known->second;
        if (queue == nullptr)
            continue; // the pool has no workers
        queue->needsAdvice |= settings.adviceValidity.count() > 0;
        queue->hasRoom |= queue->needsAdvice || fitsInto(job.smallestTask(), queue->largestRoom);
        queue->smallest
            = smallest(queue->smallest.value_or(job.smallestTask()), job.smallestTask());
        WaitingJob &waiting = queue->jobs.emplace_back();
        waiting.job = &job;
        waiting.priority = settings.priority;
    }
    std::erase_if(queues, [this](const auto &entry) {
        const bool mayStart = entry.second.hasRoom || m_hooks.defects.ignoreCapacity;
        return entry.second.jobs.empty() || !mayStart;
    });
    if (!queues.empty())
        updateWeightedShares();
    for (auto &[pool, queue] : queues)
        describeJobs(now, queue);
    return queues;
}

JobScheduler::PoolQueue JobScheduler::emptyQueue(const std::vector<Worker *> &workers)
{
    PoolQueue queue;
    for (const Worker *worker : workers) {
        // Long-running tasks don't make room for others.
        const TaskSize lasting = worker->runs.reservedByLongRunning();
        queue.capacity = plus(queue.capacity, minus(worker->description.capacity, lasting));
        queue.reserved = plus(queue.reserved, minus(worker->runs.reserved(), lasting));
        queue.largestRoom = largest(queue.largestRoom, worker->freeCapacity());
    }
    return queue;
}

void JobScheduler::describeJobs(TimePoint now, PoolQueue &queue) const
{
    Duration runtimes{0};
    for (WaitingJob &waiting : queue.jobs) {
        describe(now, waiting, queue.capacity);
        const std::size_t steps = waiting.job->submitted().specification.steps.size();
        runtimes += waiting.job->expectedPath.whole / static_cast<Duration::rep>(steps);
    }
    const double mean = toSeconds(runtimes) / static_cast<double>(queue.jobs.size());
    queue.busyTime = fromSeconds(mean * remainingPart * shareOf(queue.reserved, queue.capacity));
}

void JobScheduler::describe(TimePoint now, WaitingJob &waiting, const TaskSize &poolCapacity) const
{
    const Job &job = *waiting.job;
    const Job::ExpectedPath &path = estimate(now, job);
    if (!job.requiresLabel())
        waiting.smallestTask = job.smallestTask();
    waiting.isInProfile = job.isInProfile.value_or(true);
    const auto organisation = settingsOf(job).organisation;
    if (!waiting.isInProfile && organisation)
        waiting.weightedShare = m_organisations[*organisation].weightedShare;
    waiting.isLongRunning = job.longRunning();
    waiting.waitingSince = waitingSince(job);
    waiting.latestStart = waiting.waitingSince + path.objective - path.remaining;
    waiting.latestUsefulStart
        = waiting.waitingSince + path.objective * latestObjectives - path.remaining;
    if (!waiting.isLongRunning)
        waiting.poolTime = fromSeconds(
            std::max(shareOf(path.waitingMilliProcessorSeconds, poolCapacity.milliProcessors),
                     shareOf(path.waitingMegabyteSeconds, poolCapacity.megabytes))
            / usableFraction);
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
    path.objective = queueOf(job).objective(path.whole);
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
        const auto organisation = settingsOf(*job).organisation;
        if (organisation)
            job->isInProfile
                = m_profiles.admit(submittedAt(*job), *m_organisations[*organisation].settings);
    }
}

void JobScheduler::updateWeightedShares()
{
    if (m_organisations.empty())
        return;
    TaskSize capacity;
    for (const auto &[id, worker] : m_workers)
        capacity = plus(capacity, worker.description.capacity);
    for (Organisation &organisation : m_organisations) {
        const double weight = organisation.settings->weight;
        organisation.weightedShare
            = shareOf(m_usage.inUse(organisation.name), capacity) / (weight > 0 ? weight : 1);
    }
}

} // namespace Peridot::Jobs
