#pragma once

#include "JobMetrics.h"
#include <Kernel/Jobs/JobScheduler.h>
#include <LibBase/Time.h>

namespace Peridot::Jobs {

/// Measures how far the scheduling process falls behind, and reports it once a second: as metrics,
/// and as the event scheduler-load while it is behind. Single-threaded.
class SchedulerLoadReport
{
public:
    explicit SchedulerLoadReport(JobMetrics &metrics) : m_metrics(metrics) { }

    /// A planning pass took \a duration.
    void passFinished(Duration duration);
    /// A timer that was due at \a dueAt runs at \a now: the time in between is the delay with which
    /// this process handles events.
    void timerRan(TimePoint dueAt, TimePoint now);
    /// Background work ran \a delay after it was posted: planning is behind by this time.
    void backgroundRan(Duration delay);
    /// An answer was handled \a waited after it had arrived.
    void answerHandled(Duration waited);
    bool isDue(TimePoint now) const { return now >= m_nextReport; }
    /// Reports the second that has passed. \a jobRowsAge is the age of the known state of job rows.
    void report(TimePoint now, const SchedulerBacklog &backlog, Duration jobRowsAge);

private:
    JobMetrics &m_metrics;
    TimePoint m_nextReport;
    unsigned m_passes = 0; ///< since the latest report, like the members below
    Duration m_planning{0};
    Duration m_longestPass{0};
    Duration m_eventDelay{0};
    Duration m_backgroundDelay{0};
    Duration m_answerDelay{0};
};

} // namespace Peridot::Jobs
