#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace Peridot {

/// Quantile of \a values by nearest rank; 0 when there are none.
inline double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

} // namespace Peridot
