#include <Kernel/Jobs/ChangedJobs.h>

namespace Peridot::Jobs {

void ChangedJobs::insert(const std::string &id)
{
    if (m_changes.emplace(id, m_latestChange + 1).second)
        m_ids.emplace(++m_latestChange, id);
}

void ChangedJobs::erase(const std::string &id)
{
    const auto node = m_changes.extract(id);
    if (node)
        m_ids.erase(node.mapped());
}

} // namespace Peridot::Jobs
