#pragma once

#include <LibBase/EnumTable.h>
#include <cstdint>
#include <string>

namespace Peridot {

/// What the caller knows of its request at the end.
enum class CallerOutcome {
    Answered,
    Refused, ///< told that it was not run
    Unknown, ///< told so, or never answered
};

constexpr auto callerOutcomeNames = makeEnumTable<CallerOutcome>({
    {CallerOutcome::Answered, "answered"},
    {CallerOutcome::Refused, "refused"},
    {CallerOutcome::Unknown, "unknown"},
});

struct CallerRequest
{
    std::string id; ///< UUIDv7
    std::size_t service = 0; ///< index in the settings
    std::string method;
    std::string target;
    std::string payload;
    unsigned sends = 0;
    bool everInDoubt = false; ///< a send had no answer, or its outcome was not not-run
    CallerOutcome outcome = CallerOutcome::Unknown;

    bool idempotent() const { return method != "POST" && method != "PATCH"; }
};

} // namespace Peridot
