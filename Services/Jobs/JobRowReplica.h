#pragma once

#include "PlatformPorts.h"
#include <LibBase/Time.h>
#include <LibStore/RowFollower.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Peridot::Jobs {

/// Local copy of the rows of unfinished jobs, their cancellations and the progress of all jobs,
/// kept current through the change feeds of the store. A successor of the scheduler loads it before
/// it gets the lease, so that it can begin to schedule at once. Single-threaded on its context.
class JobRowReplica
{
public:
    using Rows = std::map<std::string, Row>; ///< by key

    JobRowReplica(asio::io_context &context, const PlatformPorts &ports,
                  std::function<TimePoint()> clock);

    /// Loads the rows; may be called once.
    void start();
    /// Calls \a callback once, asynchronously, when the copy contains every change that the store
    /// committed before \a time. Replaces an earlier callback.
    void whenCurrentSince(TimePoint time, std::function<void()> callback);

    /// Takes the progress rows, and ends to follow their changes.
    Rows takeProgress();
    /// Takes the rows of jobs and cancellations. Later ones are passed to \a onChange instead.
    Rows takeJobs(std::function<void(const RowChange &)> onChange);
    /// Every change of the rows of jobs that was committed before this time is known.
    TimePoint jobsCurrentSince() const { return m_jobsCurrentSince; }

private:
    std::unique_ptr<RowFollower> follow(std::string_view prefix, TimePoint &currentSince,
                                        std::function<void(const RowChange &)> apply);
    void checkCurrent();

    asio::io_context &m_context;
    const PlatformPorts &m_ports;
    std::function<TimePoint()> m_clock;
    Rows m_progress;
    Rows m_jobs;
    /// Every change that was committed before these times is known.
    TimePoint m_progressCurrentSince;
    TimePoint m_jobsCurrentSince;
    TimePoint m_requiredSince;
    std::function<void()> m_whenCurrent;
    std::function<void(const RowChange &)> m_onJobChange;
    std::unique_ptr<RowFollower> m_progressFollower;
    std::unique_ptr<RowFollower> m_jobFollower;
    /// Callbacks that run after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
