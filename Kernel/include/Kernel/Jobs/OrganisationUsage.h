#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <map>
#include <string>

namespace Peridot::Jobs {

/// What the runs of each organisation reserve on the workers of all pools. A run counts from its
/// placement until it has certainly ended.
class OrganisationUsage
{
public:
    void add(const std::string &organisation, const TaskSize &size);
    void remove(const std::string &organisation, const TaskSize &size);
    TaskSize inUse(const std::string &organisation) const;
    /// Whether \a count more tasks of \a size keep the organisation within its quota.
    bool hasRoom(const OrganisationSettings &organisation, const TaskSize &size,
                 std::int64_t count = 1) const;

private:
    std::map<std::string, TaskSize> m_inUse;
};

/// Whether \a count tasks of \a size could run at the same time if the organisation used nothing.
bool fitsQuota(const OrganisationSettings &organisation, const TaskSize &size, std::int64_t count);

} // namespace Peridot::Jobs
