#include <Kernel/Jobs/Job.h>

#include "SchedulerLimits.h"
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Upper bounds of what each part takes in the encoded progress row. The store takes rows of 64 KiB,
// and a checkpoint may still become longer.
constexpr std::size_t maximumOccurrencesBytes = 56UL * 1024;
constexpr std::size_t occurrenceBytes = 64;
constexpr std::size_t stepBytes = 4;
constexpr std::size_t doneTaskBytes = 16;
constexpr std::size_t unfinishedTaskBytes = 56; // without its worker
constexpr std::size_t workerBytes
    = 32; // of most names; longer ones are counted when they are known
constexpr std::size_t failedRunBytes = 21;

std::size_t maximumBytes(const Job::Occurrence &occurrence)
{
    std::size_t bytes = occurrenceBytes;
    for (const Job::Step &step : occurrence.steps) {
        bytes += stepBytes + step.done * doneTaskBytes;
        if (step.done == step.tasks.size())
            continue;
        for (const Job::Task &task : step.tasks) {
            if (task.phase != TaskPhase::Done)
                bytes += unfinishedTaskBytes + std::max(workerBytes, task.worker.size())
                         + task.checkpoint.size() + task.failedRuns.size() * failedRunBytes;
        }
    }
    return bytes;
}

bool hasLongRunningStep(const JobSpecification &specification)
{
    return std::any_of(specification.steps.begin(), specification.steps.end(),
                       [](const auto &step) { return step.longRunning; });
}

TaskSize smallestTaskOf(const JobSpecification &specification)
{
    if (specification.steps.empty())
        return {};
    TaskSize smallest = reservedSize(specification.steps.front());
    for (const StepSpecification &step : specification.steps) {
        const TaskSize size = reservedSize(step);
        smallest = {std::min(smallest.milliProcessors, size.milliProcessors),
                    std::min(smallest.megabytes, size.megabytes),
                    std::min(smallest.accelerators, size.accelerators)};
    }
    return smallest;
}

TaskProgress progressOf(const Job::Task &task)
{
    if (task.phase != TaskPhase::Done)
        return {false, task.failedRuns, task.checkpoint, task.run, task.worker};
    TaskProgress done;
    done.done = true;
    return done;
}

} // namespace

Job::Job(SubmittedJob submitted, const std::optional<JobProgress> &progress, TimePoint now)
    : receivedAt(now), m_submitted(std::move(submitted)), m_criticalPathEstimate(criticalPath()),
      m_longRunning(hasLongRunningStep(m_submitted.specification)),
      m_smallestTask(smallestTaskOf(m_submitted.specification))
{
    if (progress)
        restore(*progress);
}

void Job::restore(const JobProgress &progress)
{
    m_phase = progress.phase;
    m_lastFinished = progress.lastFinishedOccurrence;
    for (const auto &stored : progress.occurrences) {
        if (m_occurrences.contains(stored.occurrence))
            continue; // the row is malformed
        Occurrence occurrence = makeOccurrence(stored.occurrence);
        const std::size_t steps = std::min(stored.steps.size(), occurrence.steps.size());
        for (std::size_t step = 0; step < steps; ++step) {
            auto &tasks = occurrence.steps[step].tasks;
            const std::size_t count = std::min(stored.steps[step].size(), tasks.size());
            for (std::size_t index = 0; index < count; ++index) {
                const TaskProgress &storedTask = stored.steps[step][index];
                Task &task = tasks[index];
                task.run = storedTask.run;
                task.failedRuns = storedTask.failedRuns;
                task.checkpoint = storedTask.checkpoint;
                task.worker = storedTask.worker;
                task.activeSince = receivedAt;
                if (storedTask.done)
                    setPhase(occurrence.steps[step], task, TaskPhase::Done);
                else if (!storedTask.worker.empty())
                    setPhase(occurrence.steps[step], task, TaskPhase::Active);
            }
        }
        unblockSteps(occurrence);
        m_occurrences.emplace(stored.occurrence, std::move(occurrence));
    }
    for (const auto &[number, occurrence] : m_occurrences)
        m_nextOccurrence = std::max(m_nextOccurrence, number + 1);
    if (m_lastFinished)
        m_nextOccurrence = std::max(m_nextOccurrence, *m_lastFinished + 1);
}

unsigned Job::occurrenceCount() const
{
    return std::max(1U, m_submitted.specification.occurrences);
}

TimePoint Job::dueTime(unsigned occurrence) const
{
    const auto &specification = m_submitted.specification;
    if (specification.occurrences == 0)
        return TimePoint{}; // not periodic: due immediately
    return specification.firstDue + specification.interval * occurrence;
}

std::optional<TimePoint> Job::nextDueTime() const
{
    if (isFinished(m_phase) || m_nextOccurrence >= occurrenceCount())
        return std::nullopt;
    return dueTime(m_nextOccurrence);
}

bool Job::startDueOccurrences(TimePoint now)
{
    bool started = false;
    for (auto due = nextDueTime(); due && *due <= now && hasRoomForOccurrence();
         due = nextDueTime()) {
        Occurrence occurrence = makeOccurrence(m_nextOccurrence);
        unblockSteps(occurrence);
        m_occurrences.emplace(m_nextOccurrence, std::move(occurrence));
        ++m_nextOccurrence;
        started = true;
    }
    return started;
}

bool Job::hasRoomForOccurrence() const
{
    if (m_occurrences.empty())
        return true;
    std::size_t newTasks = 0;
    for (const auto &step : m_submitted.specification.steps)
        newTasks += step.count;
    std::size_t bytes = newTasks * (unfinishedTaskBytes + workerBytes) + occurrenceBytes;
    for (const auto &[number, occurrence] : m_occurrences)
        bytes += maximumBytes(occurrence);
    return bytes <= maximumOccurrencesBytes;
}

Job::Occurrence Job::makeOccurrence(unsigned number) const
{
    Occurrence occurrence;
    occurrence.dueAt = dueTime(number);
    for (const auto &step : m_submitted.specification.steps)
        occurrence.steps.emplace_back().tasks.resize(step.count);
    return occurrence;
}

void Job::unblockSteps(Occurrence &occurrence)
{
    const auto finished = [&](unsigned index) {
        return occurrence.steps[index].done == occurrence.steps[index].tasks.size();
    };
    for (unsigned index = 0; index < occurrence.steps.size(); ++index) {
        const auto &after = step(index).after;
        if (!std::all_of(after.begin(), after.end(), finished))
            continue;
        Step &unblocked = occurrence.steps[index];
        for (auto &task : unblocked.tasks) {
            if (task.phase == TaskPhase::Blocked)
                setPhase(unblocked, task, TaskPhase::Ready);
        }
    }
}

void Job::setPhase(Step &step, Task &task, TaskPhase phase)
{
    const auto counter = [&](TaskPhase which) -> unsigned * {
        switch (which) {
        case TaskPhase::Ready:
            return &step.ready;
        case TaskPhase::Active:
            return &step.active;
        case TaskPhase::Done:
            return &step.done;
        case TaskPhase::Blocked:
            break;
        }
        return nullptr;
    };
    if (unsigned *left = counter(task.phase))
        --*left;
    if (unsigned *entered = counter(phase))
        ++*entered;
    m_readyTasks -= task.phase == TaskPhase::Ready ? 1 : 0;
    m_readyTasks += phase == TaskPhase::Ready ? 1 : 0;
    task.phase = phase;
}

Job::Task *Job::task(const TaskName &name)
{
    const auto found = m_occurrences.find(name.occurrence);
    if (found == m_occurrences.end() || name.step >= found->second.steps.size())
        return nullptr;
    auto &tasks = found->second.steps[name.step].tasks;
    return name.index < tasks.size() ? &tasks[name.index] : nullptr;
}

std::uint64_t Job::nextGangRun(unsigned occurrence, unsigned step) const
{
    std::uint64_t highest = 0;
    for (const auto &task : m_occurrences.at(occurrence).steps[step].tasks)
        highest = std::max(highest, task.run);
    return highest + 1;
}

void Job::activate(const TaskName &name, std::uint64_t run, const std::string &worker,
                   TimePoint now)
{
    Task *active = task(name);
    active->run = run;
    active->worker = worker;
    active->activeSince = now;
    setPhase(m_occurrences.at(name.occurrence).steps[name.step], *active, TaskPhase::Active);
    if (m_phase == JobPhase::Queued)
        m_phase = JobPhase::Running;
}

void Job::makeReady(const TaskName &name)
{
    Task *ready = task(name);
    if (ready == nullptr || ready->phase != TaskPhase::Active)
        return;
    ready->worker.clear();
    setPhase(m_occurrences.at(name.occurrence).steps[name.step], *ready, TaskPhase::Ready);
}

void Job::complete(const TaskName &name)
{
    const auto found = m_occurrences.find(name.occurrence);
    if (found == m_occurrences.end() || task(name) == nullptr)
        return;
    Step &completed = found->second.steps[name.step];
    for (unsigned index = 0; index < completed.tasks.size(); ++index) {
        // A gang is done as soon as one of its members is done.
        if (index != name.index && !step(name.step).gang)
            continue;
        completed.tasks[index].worker.clear();
        setPhase(completed, completed.tasks[index], TaskPhase::Done);
    }
    unblockSteps(found->second);
    closeFinishedOccurrence(name.occurrence);
}

void Job::closeFinishedOccurrence(unsigned number)
{
    const auto &steps = m_occurrences.at(number).steps;
    const bool finished = std::all_of(steps.begin(), steps.end(), [](const Step &step) {
        return step.done == step.tasks.size();
    });
    if (!finished)
        return;
    m_lastFinished = std::max(m_lastFinished.value_or(number), number);
    m_occurrences.erase(number);
}

unsigned Job::countFailure(const TaskName &name, std::uint64_t run)
{
    // The failures of a gang are stored with its first task, because its members share run numbers.
    TaskName counted = name;
    if (step(name.step).gang)
        counted.index = 0;
    auto &failed = task(counted)->failedRuns;
    if (std::find(failed.begin(), failed.end(), run) == failed.end())
        failed.push_back(run);
    return static_cast<unsigned>(failed.size());
}

void Job::addFailingWorker(const TaskName &name, const std::string &worker)
{
    Step &failed = m_occurrences.at(name.occurrence).steps[name.step];
    if (!failed.succeeded)
        failed.failingWorkers.insert(worker);
}

void Job::markSucceeded(const TaskName &name)
{
    Step &successful = m_occurrences.at(name.occurrence).steps[name.step];
    successful.succeeded = true;
    successful.failingWorkers.clear();
}

std::size_t Job::failingWorkers(const TaskName &name) const
{
    const auto found = m_occurrences.find(name.occurrence);
    return found == m_occurrences.end() ? 0 : found->second.steps[name.step].failingWorkers.size();
}

void Job::finish(JobPhase phase)
{
    m_phase = phase;
    m_occurrences.clear();
    m_readyTasks = 0;
}

bool Job::allDone() const
{
    return m_occurrences.empty() && m_nextOccurrence >= occurrenceCount();
}

std::map<std::string, unsigned> Job::activeByWorker(unsigned occurrence, unsigned step) const
{
    std::map<std::string, unsigned> active;
    const Step &state = m_occurrences.at(occurrence).steps[step];
    if (state.active == 0)
        return active;
    for (const Task &task : state.tasks) {
        if (task.phase == TaskPhase::Active)
            ++active[task.worker];
    }
    return active;
}

Duration Job::criticalPath() const
{
    const auto &steps = m_submitted.specification.steps;
    std::vector<Duration> ends(steps.size(), Duration{0});
    Duration longest{0};
    for (std::size_t index = 0; index < steps.size(); ++index) {
        Duration earliestStart{0};
        for (const unsigned dependency : steps[index].after)
            earliestStart = std::max(earliestStart, ends[dependency]);
        ends[index] = earliestStart + steps[index].estimatedRuntime;
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

JobProgress Job::progress(TimePoint now) const
{
    JobProgress progress;
    progress.phase = m_phase;
    progress.changedAt = now;
    progress.organisation = m_submitted.organisation;
    if (isFinished(m_phase))
        return progress;
    progress.lastFinishedOccurrence = m_lastFinished;
    for (const auto &[number, occurrence] : m_occurrences) {
        OccurrenceProgress &entry = progress.occurrences.emplace_back();
        entry.occurrence = number;
        for (const auto &step : occurrence.steps) {
            auto &tasks = entry.steps.emplace_back();
            for (const auto &task : step.tasks)
                tasks.push_back(progressOf(task));
        }
    }
    return progress;
}

} // namespace Peridot::Jobs
