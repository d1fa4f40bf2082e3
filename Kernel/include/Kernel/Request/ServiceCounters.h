#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <array>
#include <cstdint>
#include <json/value.h>

namespace Peridot {

/// Events of one service since the start of the process.
struct ServiceCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredFromRecord = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< by the retry budget
    std::uint64_t cancelled = 0;
    std::array<std::uint64_t, refusalReasonNames.entries.size()> refused{}; ///< by reason
    std::array<std::uint64_t, outcomeNames.entries.size()> outcomes{};

    Json::Value toJson() const;
};

} // namespace Peridot
