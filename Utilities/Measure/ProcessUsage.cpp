#include "ProcessUsage.h"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Peridot {

std::uint64_t residentBytes(const std::string &processId)
{
    std::ifstream stream("/proc/" + processId + "/status");
    for (std::string line; std::getline(stream, line);) {
        if (line.rfind("RssAnon:", 0) == 0)
            return std::stoull(line.substr(8)) * 1024;
    }
    return 0;
}

double processorSeconds(const std::string &processId)
{
    std::ifstream stream("/proc/" + processId + "/stat");
    std::string text;
    std::getline(stream, text);
    const auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos)
        return 0;
    // Fields 14 and 15 of the line are user and system time; the name is field 2.
    std::istringstream fields(text.substr(nameEnd + 1));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace Peridot
