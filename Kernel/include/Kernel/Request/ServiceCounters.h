#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <array>
#include <cstdint>
#include <json/value.h>

namespace Peridot {

/// Event counters of one service since the start of the process.
struct ServiceCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredFromRecord = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< retries that the retry budget did not allow
    std::uint64_t cancelled = 0;
    std::array<std::uint64_t, refusalReasonNames.entries.size()>
        refused{}; ///< indexed by RefusalReason
    std::array<std::uint64_t, outcomeNames.entries.size()> outcomes{}; ///< indexed by Outcome

    Json::Value toJson() const;
};

} // namespace Peridot
