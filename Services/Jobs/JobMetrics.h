#pragma once

#include "JobCalls.h"
#include <LibBase/Time.h>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <utility>

namespace Peridot::Jobs {

/// How far the scheduling process is behind.
struct SchedulerLoad
{
    Duration eventDelay{0}; ///< longest delay with which an event was handled
    Duration longestPass{0}; ///< longest planning pass
    Duration jobRowsAge{0}; ///< age of the known state of the rows of jobs
    std::uint64_t unacknowledgedEnds = 0; ///< ended runs that the workers list again
    std::size_t stepsWithoutAdvice = 0; ///< steps whose request for placement advice waits
    std::size_t adviceCalls = 0; ///< requests for placement advice in flight
    std::size_t adviceCallLimit = 0; ///< upper bound of them
};

/// Metrics of one job service. serialize() and countRefusal() may be called on any thread, the
/// other functions only on the service's thread.
class JobMetrics
{
public:
    JobMetrics();

    void recordAnswer(const JobCall &call, CallOutcome outcome, Duration duration);
    /// Counts a request that was refused before it became a call.
    void countRefusal(CallOutcome outcome);
    /// Counts a submission of \a organisation, and whether the limit of its queue refused it.
    void countSubmission(const std::string &queue, const std::string &organisation, bool limited);
    /// Counts an event of the scheduler or the host planner.
    void countEvent(std::string_view kind);
    /// \a refusedEntries is the number of entries that were left out as invalid.
    void setConfiguration(std::uint64_t version, unsigned refusedEntries);
    void setScheduling(bool scheduling);
    void setWaitingJobs(const std::string &queue, unsigned jobs);
    /// \a tasks are those that wait for the quota of their organisation, by organisation.
    void setQuotaWaits(const std::map<std::string, std::uint64_t> &tasks);
    void setSchedulerLoad(const SchedulerLoad &load);

    /// Returns all metrics in the Prometheus text exposition format.
    std::string serialize() const;

private:
    template <typename Metric>
    using Family = prometheus::Family<Metric>;

    prometheus::Registry m_registry;
    Family<prometheus::Counter> &m_answers;
    Family<prometheus::Counter> &m_refusals;
    Family<prometheus::Histogram> &m_answerDurations;
    Family<prometheus::Counter> &m_submissions;
    Family<prometheus::Counter> &m_events;
    Family<prometheus::Gauge> &m_waitingJobs;
    Family<prometheus::Gauge> &m_quotaWaits;
    Family<prometheus::Gauge> &m_schedulerDelays;
    prometheus::Gauge &m_configurationVersion;
    prometheus::Gauge &m_refusedEntries;
    prometheus::Gauge &m_scheduling;
    prometheus::Gauge &m_unacknowledgedEnds;
    Family<prometheus::Gauge> &m_adviceRequests;
    std::map<std::string, prometheus::Gauge *> m_quotaWaitGauges; ///< by organisation
    std::map<std::string, prometheus::Counter *, std::less<>> m_eventCounters; ///< by event kind
};

} // namespace Peridot::Jobs
