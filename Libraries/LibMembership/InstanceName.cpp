#include <LibMembership/InstanceName.h>

#include <LibMembership/ProcessClock.h>
#include <cstdio>
#include <random>

namespace Peridot {

std::string makeInstanceName(const std::string &prefix)
{
    char suffix[40];
    std::snprintf(suffix, sizeof suffix, "-%llx-%08x",
                  static_cast<unsigned long long>(toUnixMilliseconds(processNow())),
                  std::random_device{}());
    return prefix + suffix;
}

} // namespace Peridot
