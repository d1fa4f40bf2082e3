#include <Kernel/Jobs/OrganisationArrivals.h>

#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Weights of the latest update in the averages. The estimate from accepted jobs takes longer,
// because few jobs a second are accepted of an organisation beyond its rate: with the weight of the
// accepted jobs, its mean share came out a fifth too high. The first updates count alike, so that
// the estimates of a successor don't begin too low.
constexpr double acceptedWeight = 0.3;
constexpr double estimateWeight = 0.15;
constexpr unsigned mostSamples = 10;
// Reports are up to some seconds older than the accepted jobs. They count as complete unless more
// than this part of the accepted jobs is missing in them.
constexpr double missingPart = 0.2;
constexpr double smallestShare = 0.002;
constexpr double smallestAcceptedRate = 0.01; ///< jobs per second

double missingRate(double accepted, const OrganisationBacklog &backlog)
{
    return std::max(0.0, accepted - backlog.reportedAccepted);
}

} // namespace

void OrganisationArrivals::update(Rates &rates, double seconds, std::uint64_t acceptedJobs,
                                  double share)
{
    const auto before = std::exchange(rates.acceptedJobs, acceptedJobs);
    if (seconds <= 0 || !before)
        return;
    rates.samples = std::min(rates.samples + 1, mostSamples);
    const double smallestWeight = 1.0 / rates.samples;
    const double accepted = static_cast<double>(acceptedJobs - *before) / seconds;
    const double estimated = accepted / std::max(share, smallestShare);
    rates.accepted += std::max(acceptedWeight, smallestWeight) * (accepted - rates.accepted);
    rates.estimated += std::max(estimateWeight, smallestWeight) * (estimated - rates.estimated);
}

void OrganisationArrivals::add(Duration elapsed,
                               const std::map<std::string, OrganisationBacklog> &organisations,
                               const QueueShares &inForce)
{
    for (const auto &[name, backlog] : organisations)
        m_rates.try_emplace(name);
    double accepted = 0;
    double missing = 0;
    std::map<std::string, OrganisationBacklog> backlogs = organisations;
    for (auto &[name, rates] : m_rates) {
        OrganisationBacklog &backlog = backlogs[name];
        // The count stays when no job of the queue is left.
        backlog.acceptedJobs = std::max(backlog.acceptedJobs, rates.acceptedJobs.value_or(0));
        update(rates, toSeconds(elapsed), backlog.acceptedJobs, inForce.of(name));
        accepted += rates.accepted;
        missing += missingRate(rates.accepted, backlog);
    }
    const bool isComplete = missing <= accepted * missingPart;
    for (auto &[name, rates] : m_rates) {
        const OrganisationBacklog &backlog = backlogs[name];
        const double part
            = rates.accepted > 0 ? missingRate(rates.accepted, backlog) / rates.accepted : 0;
        const double unreported = isComplete ? rates.accepted : rates.estimated;
        rates.offered = backlog.reportedOffered + part * unreported;
    }
}

std::map<std::string, double> OrganisationArrivals::offered() const
{
    std::map<std::string, double> offered;
    for (const auto &[name, rates] : m_rates)
        offered[name] = rates.offered;
    return offered;
}

double OrganisationArrivals::totalOffered() const
{
    double total = 0;
    for (const auto &[name, rates] : m_rates)
        total += rates.offered;
    return total;
}

void OrganisationArrivals::countRefusals(Duration elapsed, const QueueShares &inForce)
{
    for (auto &[name, rates] : m_rates) {
        if (inForce.organisations.contains(name))
            rates.refusedJobs += std::max(0.0, rates.offered - rates.accepted) * toSeconds(elapsed);
        else
            rates.refusedJobs = 0;
    }
}

double OrganisationArrivals::retryAfter(const std::string &organisation) const
{
    const auto found = m_rates.find(organisation);
    if (found == m_rates.end())
        return 0;
    const Rates &rates = found->second;
    return rates.refusedJobs / std::max(rates.accepted, smallestAcceptedRate);
}

} // namespace Peridot::Jobs
