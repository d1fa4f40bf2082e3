#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/Time.h>
#include <map>
#include <string>

namespace Peridot::Jobs {

/// Marks the jobs that an organisation submits beyond its rate, its weight in jobs per second, as
/// out of profile (token bucket).
class OrganisationProfiles
{
public:
    /// Takes a job that was submitted at \a time and returns whether it is in profile. Calls for
    /// one organisation should come in the order of the times; an earlier time counts as the
    /// latest.
    bool admit(TimePoint time, const OrganisationSettings &organisation);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt;
    };
    std::map<std::string, Bucket> m_buckets; ///< by organisation
};

} // namespace Peridot::Jobs
