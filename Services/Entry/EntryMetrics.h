#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibBase/Time.h>
#include <LibHttp/HttpServer.h>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <utility>

namespace Peridot {

/// Metrics of one entry process. Counters are looked up once and cached. finished() and attempt()
/// must be called on the dispatcher thread, the other functions may be called on any thread.
class EntryMetrics
{
public:
    EntryMetrics();

    void finished(const std::string &service, Outcome outcome, RefusalReason reason,
                  Duration duration);
    void attempt(AttemptStatus status);
    /// Counts a refusal by a server thread, which does not reach the dispatcher.
    void refusedBeforeDispatch(RefusalReason reason);
    void setGauges(std::size_t openRequests, std::size_t connections);

    /// Text exposition format.
    std::string serialize() const;

private:
    struct ServiceMetrics
    {
        std::map<std::pair<Outcome, RefusalReason>, prometheus::Counter *> requests;
        prometheus::Histogram *duration = nullptr;
    };

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_durations;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Family<prometheus::Counter> &m_refusals;
    prometheus::Gauge &m_openRequests;
    prometheus::Gauge &m_connections;
    std::map<std::string, ServiceMetrics> m_services;
    std::map<AttemptStatus, prometheus::Counter *> m_attemptCounters;
    std::map<RefusalReason, prometheus::Counter *> m_refusalCounters;
};

} // namespace Peridot
