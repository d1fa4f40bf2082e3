#include <Kernel/Jobs/OrganisationProfiles.h>

#include <algorithm>

namespace Peridot::Jobs {

namespace {

// Submissions within this time are counted together, because callers don't come evenly.
constexpr std::chrono::seconds burstPeriod{1};

double capacityOf(const OrganisationSettings &organisation)
{
    return std::max(organisation.weight * toSeconds(burstPeriod), 1.0);
}

} // namespace

bool OrganisationProfiles::admit(TimePoint time, const OrganisationSettings &organisation)
{
    if (organisation.weight <= 0)
        return true;
    const double capacity = capacityOf(organisation);
    Bucket &bucket = m_buckets.try_emplace(organisation.name, Bucket{capacity, time}).first->second;
    const TimePoint latest = std::max(time, bucket.filledAt);
    const double refill = toSeconds(latest - bucket.filledAt) * organisation.weight;
    bucket.tokens = std::min(capacity, bucket.tokens + refill);
    bucket.filledAt = latest;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace Peridot::Jobs
