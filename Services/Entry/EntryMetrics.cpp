#include "EntryMetrics.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace Peridot {

namespace {

const prometheus::Histogram::BucketBoundaries durationBuckets
    = {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

} // namespace

EntryMetrics::EntryMetrics()
    : m_requests(prometheus::BuildCounter()
                     .Name("peridot_requests_total")
                     .Help("Requests that the dispatcher finished.")
                     .Register(m_registry)),
      m_durations(prometheus::BuildHistogram()
                      .Name("peridot_request_seconds")
                      .Help("Time from arrival to the end of a request.")
                      .Register(m_registry)),
      m_attempts(prometheus::BuildCounter()
                     .Name("peridot_backend_attempts_total")
                     .Help("Attempts at backend servers by result.")
                     .Register(m_registry)),
      m_refusals(prometheus::BuildCounter()
                     .Name("peridot_early_refusals_total")
                     .Help("Requests refused before they reached the dispatcher.")
                     .Register(m_registry)),
      m_openRequests(prometheus::BuildGauge()
                         .Name("peridot_open_requests")
                         .Help("Requests not yet finished.")
                         .Register(m_registry)
                         .Add({})),
      m_connections(prometheus::BuildGauge()
                        .Name("peridot_caller_connections")
                        .Help("Open connections of callers.")
                        .Register(m_registry)
                        .Add({}))
{
    for (const auto &[status, name] : attemptStatusNames.entries)
        m_attemptCounters[status] = &m_attempts.Add({{"status", std::string(name)}});
    for (const auto &[reason, name] : refusalReasonNames.entries)
        m_refusalCounters[reason] = &m_refusals.Add({{"reason", std::string(name)}});
}

void EntryMetrics::finished(const std::string &service, Outcome outcome, RefusalReason reason,
                            Duration duration)
{
    ServiceMetrics &metrics = m_services[service];
    if (metrics.duration == nullptr)
        metrics.duration = &m_durations.Add({{"service", service}}, durationBuckets);
    prometheus::Counter *&counter = metrics.requests[{outcome, reason}];
    if (counter == nullptr) {
        counter = &m_requests.Add({{"service", service},
                                   {"outcome", std::string(outcomeNames.nameOf(outcome))},
                                   {"reason", std::string(refusalReasonNames.nameOf(reason))}});
    }
    counter->Increment();
    metrics.duration->Observe(toSeconds(duration));
}

void EntryMetrics::attempt(AttemptStatus status)
{
    m_attemptCounters.at(status)->Increment();
}

void EntryMetrics::refusedBeforeDispatch(RefusalReason reason)
{
    m_refusalCounters.at(reason)->Increment();
}

void EntryMetrics::setGauges(std::size_t openRequests, std::size_t connections)
{
    m_openRequests.Set(static_cast<double>(openRequests));
    m_connections.Set(static_cast<double>(connections));
}

std::string EntryMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace Peridot
