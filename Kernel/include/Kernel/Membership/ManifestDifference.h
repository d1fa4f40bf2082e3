#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Peridot {

/// Paths of the values that differ between two manifests, for example "pools/renewals". One path
/// for each changed element that has a name, otherwise for each changed top-level value.
std::vector<std::string> changedPaths(std::string_view before, std::string_view after);

} // namespace Peridot
