#include "InstanceName.h"

#include <LibBase/Time.h>
#include <chrono>
#include <cstdio>
#include <random>

namespace Peridot {

std::string makeInstanceName(const std::string &prefix)
{
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds = toUnixMilliseconds(std::chrono::time_point_cast<Duration>(now));
    char suffix[40];
    std::snprintf(suffix, sizeof suffix, "-%llx-%08x",
                  static_cast<unsigned long long>(milliseconds), std::random_device{}());
    return prefix + suffix;
}

} // namespace Peridot
