#pragma once

#include "CallerRequest.h"
#include "LoadSettings.h"
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Peridot {

/// What all callers saw: finished requests, latencies, violations.
class LoadLedger
{
public:
    explicit LoadLedger(const LoadSettings &settings);

    void sent(std::size_t service);
    void finished(const CallerRequest &request, std::chrono::nanoseconds latency);
    void violation(const std::string &kind, const CallerRequest &request,
                   const std::string &detail);

    /// Holds the run counts, summed over all backend servers, against the outcomes.
    void checkRuns(const std::map<std::string, std::uint64_t> &runs);

    /// One line for each service, then the violations.
    void print() const;
    bool passed() const { return m_violations.empty(); }

private:
    struct ServiceTotals
    {
        std::uint64_t sends = 0;
        std::uint64_t requests = 0;
        std::map<CallerOutcome, std::uint64_t> outcomes;
        std::vector<std::int64_t> latencies; ///< of answered requests, microseconds
    };

    void checkRequest(const CallerRequest &request, std::uint64_t runs);

    const LoadSettings &m_settings;
    std::vector<ServiceTotals> m_services;
    std::vector<CallerRequest> m_requests;
    std::vector<std::string> m_violations;
};

} // namespace Peridot
