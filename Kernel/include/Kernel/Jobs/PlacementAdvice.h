#pragma once

#include <Kernel/Jobs/CallLimiter.h>
#include <Kernel/Jobs/StepAdvice.h>
#include <Kernel/Jobs/Worker.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot::Jobs {

/// A step with ready tasks, and the workers of its pool that accept runs. What it points to must
/// exist until the requests of the planning pass are sent.
struct AdviceNeed
{
    TaskName step; ///< its first task
    const StepSpecification *specification = nullptr;
    const QueueSettings *queue = nullptr;
    const std::vector<Worker *> *workers = nullptr;
};

/// The placement advice about all steps, and the requests for it.
///
/// The load that this module answers: more steps wait for advice than its service can decide on.
/// The service is not sent more than it answers in time (CallLimiter). A planning pass names the
/// steps that lack tickets in the order in which they are to start, by pool; requests are sent at
/// its end, so that each free place goes to the step that needs it most at that time:
/// - steps for which a worker has room come before those that would only have their tickets early;
/// - the pools take turns, each with its first steps;
/// - every second request is for the step that has waited for one for the longest time, so that
/// none
///   waits without bound.
class PlacementAdvice
{
public:
    struct Hooks
    {
        std::function<void(const AdviceRequest &)> send; ///< empty: there is no such service
        /// Called with the kind of the event, the step and a detail.
        std::function<void(std::string_view, const TaskName &, std::string)> observe;
    };

    explicit PlacementAdvice(Hooks hooks);

    /// Whether tasks of the queue need tickets, and there is a service that issues them.
    bool isNeededFor(const QueueSettings &queue) const;
    std::optional<std::string> ticket(const TaskName &step, const std::string &worker,
                                      TimePoint now) const;
    /// Workers of \a usable for which the step has a valid ticket.
    std::vector<Worker *> allowedWorkers(TimePoint now, const TaskName &step,
                                         const std::vector<Worker *> &usable) const;

    /// Begins the needs of another pool.
    void beginPool() { m_nextRank = 0; }
    /// Adds a step of the current pool, the next one to start.
    void add(TimePoint now, const AdviceNeed &need);
    /// Sends requests for the added steps, as far as the service can take them, and drops the
    /// others.
    void sendRequests(TimePoint now);

    void requestFinished(TimePoint now, const AdviceRequest &request, const AdviceReply &reply,
                         Duration validity);
    /// Discards a ticket that the worker did not accept.
    void ticketRejected(const TaskName &step, const std::string &worker);
    /// Forgets the advice about the steps of the job.
    void removeJob(const std::string &job);

    /// Whether a step of the job waits for a request, or for the answer to one.
    bool isAwaitedBy(const std::string &job) const;
    const CallLimiter &calls() const { return m_calls; }
    /// Number of steps that the latest planning pass left without a request.
    std::size_t waitingSteps() const { return m_waitingSteps; }

private:
    struct Candidate
    {
        AdviceNeed need;
        StepAdvice *advice = nullptr;
        bool hasRoom = false; ///< on a worker that the advice may allow
        std::size_t rank = 0; ///< in the order of its pool
        TimePoint since; ///< since when it has needed a request
    };

    static std::vector<std::string> usableWorkers(const AdviceNeed &need, const StepAdvice &advice,
                                                  TimePoint now);
    /// Candidate that the next request is for; there must be one.
    std::vector<Candidate>::iterator nextCandidate();
    void send(TimePoint now, const Candidate &candidate);
    void observeEnd(TimePoint now, const AdviceRequest &request, const AdviceReply &reply,
                    bool wasFailing);

    Hooks m_hooks;
    CallLimiter m_calls;
    std::map<TaskName, StepAdvice> m_steps; ///< by the first task of the step
    std::vector<Candidate> m_candidates; ///< of the current planning pass
    std::size_t m_nextRank = 0;
    std::size_t m_waitingSteps = 0;
    bool m_oldestIsNext = false; ///< the next request is for the step that has waited longest
    TimePoint m_failingSince; ///< first failure since the latest answer
};

} // namespace Peridot::Jobs
