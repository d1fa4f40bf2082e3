#include "UnplaceableSizes.h"

#include <algorithm>

namespace Peridot::Jobs {

bool UnplaceableSizes::contain(const TaskSize &size) const
{
    return std::any_of(m_smallest.begin(), m_smallest.end(),
                       [&](const TaskSize &smallest) { return fitsInto(smallest, size); });
}

void UnplaceableSizes::add(const TaskSize &size)
{
    std::erase_if(m_smallest, [&](const TaskSize &smallest) { return fitsInto(size, smallest); });
    m_smallest.push_back(size);
}

} // namespace Peridot::Jobs
