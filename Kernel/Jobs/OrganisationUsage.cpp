#include <Kernel/Jobs/OrganisationUsage.h>

namespace Peridot::Jobs {

namespace {

bool isWithin(std::int64_t used, std::int64_t size, std::int64_t count, std::int64_t limit)
{
    return limit == 0 || size == 0 || used + size * count <= limit;
}

bool isWithin(const TaskSize &used, const TaskSize &size, std::int64_t count, const TaskSize &quota)
{
    return isWithin(used.milliProcessors, size.milliProcessors, count, quota.milliProcessors)
           && isWithin(used.megabytes, size.megabytes, count, quota.megabytes)
           && isWithin(used.accelerators, size.accelerators, count, quota.accelerators);
}

} // namespace

void OrganisationUsage::add(const std::string &organisation, const TaskSize &size)
{
    TaskSize &used = m_inUse[organisation];
    used = plus(used, size);
}

void OrganisationUsage::remove(const std::string &organisation, const TaskSize &size)
{
    TaskSize &used = m_inUse[organisation];
    used = minus(used, size);
}

TaskSize OrganisationUsage::inUse(const std::string &organisation) const
{
    const auto found = m_inUse.find(organisation);
    return found == m_inUse.end() ? TaskSize{} : found->second;
}

bool OrganisationUsage::hasRoom(const OrganisationSettings &organisation, const TaskSize &size,
                                std::int64_t count) const
{
    return isWithin(inUse(organisation.name), size, count, organisation.quota);
}

bool fitsQuota(const OrganisationSettings &organisation, const TaskSize &size, std::int64_t count)
{
    return isWithin({}, size, count, organisation.quota);
}

} // namespace Peridot::Jobs
