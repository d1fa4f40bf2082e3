#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <vector>

namespace Peridot::Jobs {

/// The smallest sizes that no worker of a pool has room for. They are valid during one planning
/// pass, in which free capacity only shrinks.
class UnplaceableSizes
{
public:
    /// Whether \a size is at least as large as one of these sizes.
    bool contain(const TaskSize &size) const;
    void add(const TaskSize &size);

private:
    std::vector<TaskSize> m_smallest; ///< none of them fits into another
};

} // namespace Peridot::Jobs
