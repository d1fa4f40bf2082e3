#pragma once

#include <string>

namespace Peridot {

/// Name of this process, unique for each start: prefix, start time and random digits.
std::string makeInstanceName(const std::string &prefix);

} // namespace Peridot
