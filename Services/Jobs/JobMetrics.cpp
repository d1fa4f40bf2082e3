#include "JobMetrics.h"

#include <prometheus/text_serializer.h>

namespace Peridot::Jobs {

namespace {

// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries answerDurationBuckets
    = {0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10, 30};

template <typename Builder>
auto &registerFamily(Builder builder, const char *name, const char *help,
                     prometheus::Registry &registry)
{
    return builder.Name(name).Help(help).Register(registry);
}

} // namespace

JobMetrics::JobMetrics()
    : m_answers(registerFamily(prometheus::BuildCounter(), "peridot_job_calls_total",
                               "Answers to callers by call, queue and outcome.", m_registry)),
      m_refusals(registerFamily(prometheus::BuildCounter(), "peridot_refused_requests_total",
                                "Requests that were refused before they became calls, by outcome.",
                                m_registry)),
      m_answerDurations(registerFamily(prometheus::BuildHistogram(), "peridot_job_call_seconds",
                                       "Time from the arrival of a call to its answer.",
                                       m_registry)),
      m_submissions(registerFamily(
          prometheus::BuildCounter(), "peridot_organisation_submissions_total",
          "Submissions of organisations, and whether the limit of the queue refused them.",
          m_registry)),
      m_events(registerFamily(prometheus::BuildCounter(), "peridot_job_events_total",
                              "Events of the scheduler and the host planner by kind.", m_registry)),
      m_waitingJobs(registerFamily(prometheus::BuildGauge(), "peridot_waiting_jobs",
                                   "Accepted jobs without a started task by queue.", m_registry)),
      m_quotaWaits(registerFamily(prometheus::BuildGauge(), "peridot_quota_waiting_tasks",
                                  "Tasks that wait for the quota of their organisation.",
                                  m_registry)),
      m_schedulerDelays(registerFamily(prometheus::BuildGauge(), "peridot_scheduler_delay_seconds",
                                       "Longest delays of the scheduler in the latest second.",
                                       m_registry)),
      m_configurationVersion(registerFamily(prometheus::BuildGauge(),
                                            "peridot_configuration_version",
                                            "Version of the configuration in force.", m_registry)
                                 .Add({})),
      m_refusedEntries(
          registerFamily(prometheus::BuildGauge(), "peridot_configuration_refused_entries",
                         "Invalid organisations and keys in the configuration.", m_registry)
              .Add({})),
      m_scheduling(registerFamily(prometheus::BuildGauge(), "peridot_scheduling",
                                  "1 while this process schedules the jobs.", m_registry)
                       .Add({})),
      m_unacknowledgedEnds(registerFamily(prometheus::BuildGauge(), "peridot_unacknowledged_ends",
                                          "Ended runs that the workers list again.", m_registry)
                               .Add({})),
      m_adviceRequests(registerFamily(
          prometheus::BuildGauge(), "peridot_advice_requests",
          "Requests for placement advice: in flight, their limit, and steps that wait for one.",
          m_registry))
{
}

void JobMetrics::recordAnswer(const JobCall &call, CallOutcome outcome, Duration duration)
{
    const std::string kind(callKindNames.nameOf(call.kind));
    m_answers
        .Add({{"call", kind},
              {"queue", call.queue},
              {"outcome", std::string(callOutcomeNames.nameOf(outcome))}})
        .Increment();
    m_answerDurations.Add({{"call", kind}}, answerDurationBuckets).Observe(toSeconds(duration));
}

void JobMetrics::countRefusal(CallOutcome outcome)
{
    m_refusals.Add({{"outcome", std::string(callOutcomeNames.nameOf(outcome))}}).Increment();
}

void JobMetrics::countSubmission(const std::string &queue, const std::string &organisation,
                                 bool limited)
{
    m_submissions
        .Add(
            {{"queue", queue}, {"organisation", organisation}, {"limited", limited ? "yes" : "no"}})
        .Increment();
}

void JobMetrics::countEvent(std::string_view kind)
{
    const auto found = m_eventCounters.find(kind);
    if (found != m_eventCounters.end())
        return found->second->Increment();
    prometheus::Counter &counter = m_events.Add({{"event", std::string(kind)}});
    m_eventCounters.emplace(kind, &counter);
    counter.Increment();
}

void JobMetrics::setConfiguration(std::uint64_t version, unsigned refusedEntries)
{
    m_configurationVersion.Set(static_cast<double>(version));
    m_refusedEntries.Set(refusedEntries);
}

void JobMetrics::setScheduling(bool scheduling)
{
    m_scheduling.Set(scheduling ? 1 : 0);
}

void JobMetrics::setWaitingJobs(const std::string &queue, unsigned jobs)
{
    m_waitingJobs.Add({{"queue", queue}}).Set(jobs);
}

void JobMetrics::setQuotaWaits(const std::map<std::string, std::uint64_t> &tasks)
{
    for (const auto &[organisation, gauge] : m_quotaWaitGauges)
        gauge->Set(0);
    for (const auto &[organisation, count] : tasks) {
        prometheus::Gauge &gauge = m_quotaWaits.Add({{"organisation", organisation}});
        m_quotaWaitGauges[organisation] = &gauge;
        gauge.Set(static_cast<double>(count));
    }
}

void JobMetrics::setSchedulerLoad(const SchedulerLoad &load)
{
    m_schedulerDelays.Add({{"kind", "event"}}).Set(toSeconds(load.eventDelay));
    m_schedulerDelays.Add({{"kind", "planning-pass"}}).Set(toSeconds(load.longestPass));
    m_schedulerDelays.Add({{"kind", "job-rows"}}).Set(toSeconds(load.jobRowsAge));
    m_unacknowledgedEnds.Set(static_cast<double>(load.unacknowledgedEnds));
    const auto setRequests = [this](const char *state, std::size_t count) {
        m_adviceRequests.Add({{"state", state}}).Set(static_cast<double>(count));
    };
    setRequests("in-flight", load.adviceCalls);
    setRequests("limit", load.adviceCallLimit);
    setRequests("waiting", load.stepsWithoutAdvice);
}

std::string JobMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Peridot::Jobs
