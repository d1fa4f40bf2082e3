#include "LoadLedger.h"

#include <algorithm>
#include <iostream>

namespace Peridot {

namespace {

constexpr std::size_t printedViolations = 20;

std::int64_t percentile(std::vector<std::int64_t> &values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace

LoadLedger::LoadLedger(const LoadSettings &settings)
    : m_settings(settings), m_services(settings.services.size())
{
}

void LoadLedger::sent(std::size_t service)
{
    ++m_services[service].sends;
}

void LoadLedger::finished(const CallerRequest &request, std::chrono::nanoseconds latency)
{
    ServiceTotals &totals = m_services[request.service];
    ++totals.requests;
    ++totals.outcomes[request.outcome];
    if (request.outcome == CallerOutcome::Answered)
        totals.latencies.push_back(latency.count() / 1000);
    m_requests.push_back(request);
    // The payload was compared already; keeping it would cost memory for every request.
    m_requests.back().payload.clear();
}

void LoadLedger::violation(const std::string &kind, const CallerRequest &request,
                           const std::string &detail)
{
    m_violations.push_back("violation=" + kind + " request_id=" + request.id
                           + " method=" + request.method + " sends=" + std::to_string(request.sends)
                           + " detail=\"" + detail + '"');
}

void LoadLedger::checkRuns(const std::map<std::string, std::uint64_t> &runs)
{
    for (const auto &request : m_requests) {
        const auto found = runs.find(request.id);
        checkRequest(request, found == runs.end() ? 0 : found->second);
    }
}

void LoadLedger::checkRequest(const CallerRequest &request, std::uint64_t runs)
{
    const std::string detail = "runs " + std::to_string(runs);
    if (!request.idempotent() && runs > 1)
        violation("run-more-than-once", request, detail);
    if (request.outcome == CallerOutcome::Answered && runs == 0 && !m_settings.lostCountsAllowed)
        violation("answered-but-not-run", request, detail);
    // For a non-idempotent request "not run" speaks of every copy. For an idempotent one it speaks
    // of the copy that was refused, and an earlier copy in doubt may have run.
    const bool covered = !request.idempotent() || !request.everInDoubt;
    if (request.outcome == CallerOutcome::Refused && covered && runs > 0)
        violation("not-run-but-run", request, detail);
}

void LoadLedger::print() const
{
    for (std::size_t index = 0; index < m_services.size(); ++index) {
        ServiceTotals totals = m_services[index];
        std::cout << "service=" << m_settings.services[index] << " sent=" << totals.sends
                  << " requests=" << totals.requests;
        for (const auto &[outcome, name] : callerOutcomeNames.entries)
            std::cout << ' ' << name << '=' << totals.outcomes[outcome];
        for (const auto &[name, fraction] : {std::pair("p50_us", 0.5), std::pair("p90_us", 0.9),
                                             std::pair("p99_us", 0.99), std::pair("max_us", 1.0)})
            std::cout << ' ' << name << '=' << percentile(totals.latencies, fraction);
        std::cout << '\n';
    }
    for (std::size_t index = 0; index < std::min(m_violations.size(), printedViolations); ++index)
        std::cout << m_violations[index] << '\n';
    std::cout << "violations=" << m_violations.size() << std::endl;
}

} // namespace Peridot
