#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Peridot::Jobs {

/// Ids of jobs whose progress rows are out of date, in the order in which they changed. Those whose
/// write has failed are inserted again, after the others.
class ChangedJobs
{
public:
    using InOrder = std::map<std::uint64_t, std::string>; ///< ids by the number of the change

    /// Adds \a id after the others. A job that has changed already keeps its place.
    void insert(const std::string &id);
    void erase(const std::string &id);
    bool contains(const std::string &id) const { return m_changes.contains(id); }
    std::size_t size() const { return m_changes.size(); }
    const InOrder &inOrder() const { return m_ids; }

private:
    std::uint64_t m_latestChange = 0;
    InOrder m_ids;
    std::map<std::string, std::uint64_t> m_changes; ///< number of the change by id
};

} // namespace Peridot::Jobs
