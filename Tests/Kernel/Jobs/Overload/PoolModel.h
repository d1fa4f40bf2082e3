#pragma once

#include <Kernel/Jobs/StartOrder.h>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace Peridot::Jobs::Test {

using namespace std::chrono_literals;

/// A job of one step: tasks that take \a milliProcessors each for \a runtime.
struct ModelJob
{
    Duration arrivesAt{0};
    unsigned tasks = 1;
    std::int64_t milliProcessors = 1000;
    Duration runtime{0};
    Duration objective{0}; ///< from the arrival to the end of the last task
    unsigned priority = 0;
    bool isInProfile = true;
    std::string kind = {};

    double work() const
    {
        return tasks * toSeconds(runtime) * static_cast<double>(milliProcessors) / 1000;
    }
};

/// What became of a job.
struct ModelResult
{
    bool isInTime = false;
    Duration endedAt{0};
};

using StartPolicy = std::function<void(TimePoint, Duration, std::vector<WaitingJob> &)>;

/// A pool of processors that starts the tasks of waiting jobs in the order of a policy, whenever
/// there is room, until all have ended.
class PoolModel
{
public:
    explicit PoolModel(std::int64_t milliProcessors) : m_capacity(milliProcessors) { }

    /// From \a time on, the pool has this capacity. What runs goes on.
    void setCapacityAt(Duration time, std::int64_t milliProcessors)
    {
        m_changes.push_back({time, milliProcessors});
    }

    /// \a jobs are in the order of their arrival. Passes are \a pause apart.
    std::vector<ModelResult> run(const std::vector<ModelJob> &jobs, const StartPolicy &policy,
                                 Duration pause = 20ms)
    {
        std::deque<Job> records;
        std::vector<unsigned> started(jobs.size(), 0);
        std::vector<ModelResult> results(jobs.size());
        std::multimap<Duration, std::int64_t> running;
        std::map<const Job *, std::size_t> indexOf;
        std::size_t arrived = 0;
        std::int64_t used = 0;
        for (Duration now{0};
             arrived < jobs.size() || !running.empty() || hasWaiting(started, jobs); now += pause) {
            for (const auto &[time, capacity] : m_changes)
                m_capacity = now >= time ? capacity : m_capacity;
            while (!running.empty() && running.begin()->first <= now) {
                used -= running.begin()->second;
                running.erase(running.begin());
            }
            for (; arrived < jobs.size() && jobs[arrived].arrivesAt <= now; ++arrived) {
                SubmittedJob submitted;
                submitted.specification.steps.resize(1);
                records.emplace_back(submitted, std::nullopt, m_begin);
                indexOf[&records.back()] = arrived;
            }
            std::vector<WaitingJob> waiting;
            for (std::size_t index = 0; index < arrived; ++index) {
                if (started[index] < jobs[index].tasks)
                    waiting.push_back(waitingJob(jobs[index], started[index], records[index]));
            }
            policy(m_begin + now, busyTime(jobs, used), waiting);
            for (const WaitingJob &entry : waiting) {
                const std::size_t index = indexOf.at(entry.job);
                const ModelJob &job = jobs[index];
                while (started[index] < job.tasks && used + job.milliProcessors <= m_capacity) {
                    ++started[index];
                    used += job.milliProcessors;
                    running.emplace(now + job.runtime, job.milliProcessors);
                    results[index].endedAt = now + job.runtime;
                }
            }
        }
        for (std::size_t index = 0; index < jobs.size(); ++index)
            results[index].isInTime
                = results[index].endedAt <= jobs[index].arrivesAt + jobs[index].objective;
        return results;
    }

private:
    static bool hasWaiting(const std::vector<unsigned> &started, const std::vector<ModelJob> &jobs)
    {
        for (std::size_t index = 0; index < jobs.size(); ++index) {
            if (started[index] < jobs[index].tasks)
                return true;
        }
        return false;
    }

    WaitingJob waitingJob(const ModelJob &job, unsigned started, Job &record) const
    {
        WaitingJob waiting;
        waiting.job = &record;
        waiting.priority = job.priority;
        waiting.isInProfile = job.isInProfile;
        waiting.waitingSince = m_begin + job.arrivesAt;
        waiting.latestStart = waiting.waitingSince + job.objective - job.runtime;
        waiting.latestUsefulStart = waiting.waitingSince + job.objective * 3 - job.runtime;
        const double seconds = job.work() * (job.tasks - started) / job.tasks * 1000
                               / static_cast<double>(m_capacity);
        waiting.poolTime
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        return waiting;
    }

    Duration busyTime(const std::vector<ModelJob> &jobs, std::int64_t used) const
    {
        return jobs.front().runtime / 2 * used / m_capacity;
    }

    struct CapacityChange
    {
        Duration time;
        std::int64_t milliProcessors;
    };

    TimePoint m_begin{std::chrono::hours(1)};
    std::int64_t m_capacity;
    std::vector<CapacityChange> m_changes;
};

} // namespace Peridot::Jobs::Test
