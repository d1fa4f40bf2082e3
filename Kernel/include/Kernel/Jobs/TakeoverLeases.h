#pragma once

#include <Kernel/Jobs/Worker.h>
#include <Kernel/Jobs/WorkerOrders.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// Keeps the leases of workers from expiring while a new scheduler reads the rows of the jobs,
/// which can take longer than a lease. It polls each listed worker under the new fencing epoch, and
/// extends the leases of those that run something. It knows no jobs, so it neither starts nor stops
/// anything, and acknowledges no ended run.
class TakeoverLeases
{
public:
    struct Hooks
    {
        std::function<void(const PollOrder &)> poll;
        /// A worker has seen a higher epoch.
        std::function<void()> fenced;
    };

    /// \a lease is the length of the leases, \a maximumLease the longest one that workers grant.
    TakeoverLeases(std::uint64_t epoch, Duration lease, Duration maximumLease, Hooks hooks);

    /// Takes the complete list of workers.
    void setWorkers(const std::vector<WorkerDescription> &workers);
    /// Sends the polls that are due, a limited number at the same time.
    void sendDuePolls(TimePoint now);
    void pollFinished(TimePoint now, const PollOrder &order, const PollReply &reply);
    /// Upper bound of all lease ends that were sent.
    TimePoint leasesEnd() const;
    /// Calls \a visit with each worker, whose clock is known when it has answered.
    void forEachWorker(const std::function<void(const Worker &)> &visit) const;
    /// Number of workers that have answered.
    std::size_t answered() const { return m_answered; }

private:
    struct PolledWorker
    {
        explicit PolledWorker(const WorkerDescription &description) : worker(description) { }

        Worker worker;
        bool pollInFlight = false;
        bool answered = false;
        bool hasRuns = false; ///< by its latest answer
        TimePoint nextPoll;
    };

    void sendPoll(TimePoint now, PolledWorker &polled);

    std::uint64_t m_epoch;
    Duration m_lease;
    Duration m_maximumLease;
    Hooks m_hooks;
    std::map<std::string, PolledWorker> m_workers;
    std::size_t m_inFlight = 0;
    std::size_t m_answered = 0;
};

} // namespace Peridot::Jobs
