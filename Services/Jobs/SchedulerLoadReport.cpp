#include "SchedulerLoadReport.h"

#include <LibBase/Log.h>
#include <algorithm>

namespace Peridot::Jobs {

namespace {

constexpr std::chrono::milliseconds reportPeriod{1000};
// Each of these delays means that the process is behind. Job rows are read by calls that wait for a
// change for up to a second.
constexpr std::chrono::milliseconds notableEventDelay{200};
constexpr std::chrono::milliseconds notableJobRowsAge{2000};

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void SchedulerLoadReport::passFinished(Duration duration)
{
    ++m_passes;
    m_planning += duration;
    m_longestPass = std::max(m_longestPass, duration);
}

void SchedulerLoadReport::timerRan(TimePoint dueAt, TimePoint now)
{
    m_eventDelay = std::max(m_eventDelay, now - dueAt);
}

void SchedulerLoadReport::backgroundRan(Duration delay)
{
    m_backgroundDelay = std::max(m_backgroundDelay, delay);
}

void SchedulerLoadReport::answerHandled(Duration waited)
{
    m_answerDelay = std::max(m_answerDelay, waited);
}

void SchedulerLoadReport::report(TimePoint now, const SchedulerBacklog &backlog,
                                 Duration jobRowsAge)
{
    m_nextReport = now + reportPeriod;
    m_metrics.setSchedulerLoad({m_eventDelay, m_longestPass, jobRowsAge, backlog.unacknowledgedEnds,
                                backlog.stepsWithoutAdvice, backlog.adviceCalls,
                                backlog.adviceCallLimit});
    if (std::max({m_eventDelay, m_backgroundDelay, m_answerDelay}) >= notableEventDelay
        || jobRowsAge >= notableJobRowsAge) {
        logEvent(LogLevel::Warning, "scheduler-load",
                 {{"event_delay_ms", milliseconds(m_eventDelay)},
                  {"background_delay_ms", milliseconds(m_backgroundDelay)},
                  {"answer_delay_ms", milliseconds(m_answerDelay)},
                  {"passes", std::uint64_t{m_passes}},
                  {"planning_ms", milliseconds(m_planning)},
                  {"longest_pass_ms", milliseconds(m_longestPass)},
                  {"job_rows_age_ms", milliseconds(jobRowsAge)},
                  {"jobs", std::uint64_t{backlog.jobs}},
                  {"changed_jobs", std::uint64_t{backlog.changedJobs}},
                  {"unacknowledged_ends", backlog.unacknowledgedEnds},
                  {"unreachable_workers", std::uint64_t{backlog.unreachableWorkers}},
                  {"oldest_contact_ms", milliseconds(backlog.oldestContact)}});
    }
    m_passes = 0;
    m_planning = m_longestPass = m_eventDelay = m_backgroundDelay = m_answerDelay = Duration{0};
}

} // namespace Peridot::Jobs
