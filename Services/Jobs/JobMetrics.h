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

/// Metrics of one job service. serialize() may be called on any thread, the other functions only on
/// the service's thread.
class JobMetrics
{
public:
    JobMetrics();

    void recordAnswer(const JobCall &call, CallOutcome outcome, Duration duration);
    /// Counts an event of the scheduler or the host planner.
    void countEvent(std::string_view kind);
    void setConfigurationVersion(std::uint64_t version);
    void setScheduling(bool scheduling);
    void setWaitingJobs(const std::string &queue, unsigned jobs);

    /// Returns all metrics in the Prometheus text exposition format.
    std::string serialize() const;

private:
    template <typename Metric>
    using Family = prometheus::Family<Metric>;

    prometheus::Registry m_registry;
    Family<prometheus::Counter> &m_answers;
    Family<prometheus::Histogram> &m_answerDurations;
    Family<prometheus::Counter> &m_events;
    Family<prometheus::Gauge> &m_waitingJobs;
    prometheus::Gauge &m_configurationVersion;
    prometheus::Gauge &m_scheduling;
    std::map<std::string, prometheus::Counter *, std::less<>> m_eventCounters; ///< by event kind
};

} // namespace Peridot::Jobs
