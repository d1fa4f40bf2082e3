#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <map>
#include <string>

namespace Peridot::Jobs {

/// Whether the organisation has a limit for any resource.
bool hasQuota(const OrganisationSettings &organisation);

/// Whether \a count tasks of \a size could run at the same time if the organisation used nothing.
bool fitsQuota(const OrganisationSettings &organisation, const TaskSize &size, std::int64_t count);

/// Whether the organisation could run each step of the job: one task at a time, or a whole gang.
bool fitsQuota(const OrganisationSettings &organisation, const JobSpecification &specification);

/// What the runs of each organisation use. A run counts from its placement until it has certainly
/// ended.
class OrganisationUsage
{
public:
    /// Does nothing for runs of no organisation.
    void add(const std::string &organisation, const TaskSize &size);
    void add(const OrganisationUsage &other);
    void remove(const std::string &organisation, const TaskSize &size);
    void remove(const OrganisationUsage &other);
    bool empty() const { return m_inUse.empty(); }
    TaskSize inUse(const std::string &organisation) const;

    /// Number of tasks of \a size, at most \a count, that keep the organisation within its quota.
    std::int64_t room(const OrganisationSettings &organisation, const TaskSize &size,
                      std::int64_t count) const;
    /// Adds as many tasks as there is room for. Returns their number.
    std::int64_t take(const OrganisationSettings &organisation, const TaskSize &size,
                      std::int64_t count);

private:
    std::map<std::string, TaskSize> m_inUse; ///< by organisation
};

} // namespace Peridot::Jobs
