#pragma once

#include <LibBase/Error.h>
#include <string>
#include <vector>

namespace Peridot {

/// Where and as whom peridotctl calls.
struct ControlOptions
{
    std::vector<std::string> addresses; ///< "ip:port"; tried in turn
    std::string token;
    std::string authorityFile; ///< PEM certificates that sign those of the servers; empty: no TLS
    long timeoutSeconds = 40;
    bool json = false;
};

/// Reads \a path when it is not empty; flags override the file.
/// Errors: those of loadSettings().
Result<ControlOptions> loadControlOptions(const std::string &path);

} // namespace Peridot
