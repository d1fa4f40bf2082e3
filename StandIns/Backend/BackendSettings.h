#pragma once

#include <LibBase/Error.h>
#include <chrono>
#include <cstdint>
#include <string>

namespace Peridot {

struct BackendSettings
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    unsigned slots = 8; ///< further requests are refused with Peridot-Refused: 1
    unsigned threads = 1;
    std::chrono::microseconds serviceTime{0};
    std::chrono::milliseconds slowTime{3000}; ///< service time of the fault "slow"
};

/// Errors: those of loadSettings().
Result<BackendSettings> loadBackendSettings(const std::string &path);

} // namespace Peridot
