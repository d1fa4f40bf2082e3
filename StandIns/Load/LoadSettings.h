#pragma once

#include <LibBase/Error.h>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Peridot {

struct LoadSettings
{
    std::vector<asio::ip::tcp::endpoint> entries;
    std::vector<asio::ip::tcp::endpoint> backendControls;
    std::vector<std::string> services;
    unsigned callers = 16; ///< connections; each has one request open at a time
    double rate = 0; ///< requests a second over all callers; 0: as fast as they are answered
    std::chrono::milliseconds duration{5000};
    std::uint64_t requestLimit = 100000;
    unsigned nonIdempotentPercent = 50;
    unsigned sendLimit = 6; ///< sends of one request, repeats included
    std::chrono::milliseconds deadline{5000}; ///< stated to the entry process
    std::chrono::milliseconds patience{8000}; ///< after which a send counts as unanswered
    std::size_t payloadBytes = 64;
    std::string urgency;
    bool lostCountsAllowed = false; ///< a backend server was restarted and lost its counts
    std::uint64_t seed = 1;
};

/// Parses the command line; prints the usage and exits on its own for bad syntax. Errors:
/// InvalidValue with the option in the field. Only loopback addresses are accepted.
Result<LoadSettings> parseLoadSettings(int argc, char **argv);

} // namespace Peridot
