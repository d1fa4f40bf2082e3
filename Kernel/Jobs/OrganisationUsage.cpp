#include <Kernel/Jobs/OrganisationUsage.h>

#include <algorithm>

namespace Peridot::Jobs {

namespace {

/// Number of tasks, at most \a count, that need \a size each of a resource of which \a used of
/// \a limit are in use.
std::int64_t roomFor(std::int64_t used, std::int64_t size, std::int64_t count, std::int64_t limit)
{
    if (limit == 0 || size == 0)
        return count;
    // A quota may have been reduced below what is in use.
    return std::min(count, std::max<std::int64_t>(limit - used, 0) / size);
}

std::int64_t roomFor(const TaskSize &used, const TaskSize &size, std::int64_t count,
                     const TaskSize &quota)
{
    count = roomFor(used.milliProcessors, size.milliProcessors, count, quota.milliProcessors);
    count = roomFor(used.megabytes, size.megabytes, count, quota.megabytes);
    return roomFor(used.accelerators, size.accelerators, count, quota.accelerators);
}

} // namespace

bool hasQuota(const OrganisationSettings &organisation)
{
    return organisation.quota != TaskSize{};
}

bool fitsQuota(const OrganisationSettings &organisation, const TaskSize &size, std::int64_t count)
{
    return roomFor({}, size, count, organisation.quota) == count;
}

bool fitsQuota(const OrganisationSettings &organisation, const JobSpecification &specification)
{
    return std::all_of(specification.steps.begin(), specification.steps.end(),
                       [&](const StepSpecification &step) {
                           return fitsQuota(organisation, step.size, step.gang ? step.count : 1);
                       });
}

void OrganisationUsage::add(const std::string &organisation, const TaskSize &size)
{
    if (organisation.empty())
        return;
    TaskSize &used = m_inUse[organisation];
    used = plus(used, size);
}

void OrganisationUsage::add(const OrganisationUsage &other)
{
    for (const auto &[organisation, size] : other.m_inUse)
        add(organisation, size);
}

void OrganisationUsage::remove(const OrganisationUsage &other)
{
    for (const auto &[organisation, size] : other.m_inUse)
        remove(organisation, size);
}

void OrganisationUsage::remove(const std::string &organisation, const TaskSize &size)
{
    const auto found = m_inUse.find(organisation);
    if (found == m_inUse.end())
        return;
    found->second = minus(found->second, size);
    if (found->second == TaskSize{})
        m_inUse.erase(found);
}

TaskSize OrganisationUsage::inUse(const std::string &organisation) const
{
    const auto found = m_inUse.find(organisation);
    return found == m_inUse.end() ? TaskSize{} : found->second;
}

std::int64_t OrganisationUsage::room(const OrganisationSettings &organisation, const TaskSize &size,
                                     std::int64_t count) const
{
    return roomFor(inUse(organisation.name), size, count, organisation.quota);
}

std::int64_t OrganisationUsage::take(const OrganisationSettings &organisation, const TaskSize &size,
                                     std::int64_t count)
{
    const std::int64_t taken = room(organisation, size, count);
    add(organisation.name, multiplied(size, taken));
    return taken;
}

} // namespace Peridot::Jobs
