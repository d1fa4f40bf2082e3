#include <Kernel/Jobs/OrganisationShares.h>

#include <algorithm>
#include <vector>

namespace Peridot::Jobs {

namespace {

// Submissions within this time are counted together, as OrganisationProfiles does.
constexpr std::chrono::seconds burstPeriod{1};
// Organisations with less than this part of their submissions beyond the rate count as within it.
constexpr double smallestExcess = 0.001;

bool isBeyondRate(const OrganisationOffer &offer)
{
    return offer.withinRate < offer.offered * (1 - smallestExcess);
}

/// Factor of what is within the rates up to which submissions are accepted, so that \a accepted
/// jobs per second are accepted together. At most as many must be offered.
double acceptedLevel(double accepted, const std::map<std::string, OrganisationOffer> &offers)
{
    std::vector<OrganisationOffer> ordered;
    double withinRates = 0;
    for (const auto &[organisation, offer] : offers) {
        if (offer.withinRate <= 0)
            continue;
        ordered.push_back(offer);
        withinRates += offer.withinRate;
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto &left, const auto &right) {
        return left.offered * right.withinRate < right.offered * left.withinRate;
    });
    // Those that are satisfied at the lowest level come first; the others share what is left.
    for (const OrganisationOffer &offer : ordered) {
        const double level = accepted / withinRates;
        if (level * offer.withinRate <= offer.offered)
            return level;
        accepted -= offer.offered;
        withinRates -= offer.withinRate;
    }
    return ordered.empty() ? 0 : ordered.back().offered / ordered.back().withinRate;
}

} // namespace

double QueueShares::of(const std::string &organisation) const
{
    const auto found = organisations.find(organisation);
    return found == organisations.end() ? others : found->second;
}

QueueShares divideShare(double all, double withinRates,
                        const std::map<std::string, OrganisationOffer> &offers)
{
    const bool anyBeyondRate = std::any_of(
        offers.begin(), offers.end(), [](const auto &entry) { return isBeyondRate(entry.second); });
    if (!anyBeyondRate)
        all = std::max(all, std::min(1.0, withinRates));
    QueueShares shares{all, all};
    if (all >= 1 || !anyBeyondRate)
        return shares;
    OrganisationOffer sum;
    for (const auto &[organisation, offer] : offers) {
        sum.offered += offer.offered;
        sum.withinRate += offer.withinRate;
    }
    double level = acceptedLevel(all * sum.offered, offers);
    if (sum.withinRate > 0)
        level = std::max(level, std::min(1.0, withinRates * sum.offered / sum.withinRate));
    shares.others = std::min(1.0, level);
    for (const auto &[organisation, offer] : offers) {
        if (isBeyondRate(offer))
            shares.organisations[organisation]
                = std::min(1.0, level * offer.withinRate / offer.offered);
    }
    double accepted = 0;
    for (const auto &[organisation, offer] : offers)
        accepted += shares.of(organisation) * offer.offered;
    shares.all = accepted / sum.offered;
    return shares;
}

void OrganisationRates::update(Duration elapsed, const std::map<std::string, double> &offered,
                               const std::map<std::string, double> &weights)
{
    std::erase_if(m_buckets, [&](const auto &entry) { return !weights.contains(entry.first); });
    const double seconds = toSeconds(elapsed);
    if (seconds <= 0)
        return;
    for (const auto &[organisation, weight] : weights) {
        const double capacity = std::max(weight * toSeconds(burstPeriod), 1.0);
        Bucket &bucket = m_buckets.try_emplace(organisation, Bucket{capacity}).first->second;
        bucket.tokens += weight * seconds;
        const auto rate = offered.find(organisation);
        const double jobs = rate == offered.end() ? 0 : rate->second * seconds;
        const double withinRate = std::min(jobs, bucket.tokens);
        bucket.tokens = std::min(bucket.tokens - withinRate, capacity);
        bucket.partWithinRate = jobs > 0 ? withinRate / jobs : 1;
    }
}

double OrganisationRates::partWithinRate(const std::string &organisation) const
{
    const auto found = m_buckets.find(organisation);
    return found == m_buckets.end() ? 1 : found->second.partWithinRate;
}

} // namespace Peridot::Jobs
