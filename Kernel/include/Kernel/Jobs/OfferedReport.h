#pragma once

#include <LibBase/Error.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Peridot::Jobs {

/// Submissions that one process has taken since it started.
struct OfferedCount
{
    std::uint64_t offered = 0; ///< refused or not
    std::uint64_t refused = 0; ///< because of a limit

    bool operator==(const OfferedCount &) const = default;
};

/// By queue and organisation (empty: none).
using OfferedCounts = std::map<std::string, std::map<std::string, OfferedCount>>;

/// Row offered/<host>, which each process that accepts jobs writes while limits are in force: what
/// was submitted to it. The accepted jobs alone do not show that.
struct OfferedReport
{
    std::string instance; ///< of the process; the counts of another one begin anew
    std::int64_t milliseconds = 0; ///< on the clock of the process
    OfferedCounts counts;

    bool operator==(const OfferedReport &) const = default;
};

constexpr std::string_view offeredPrefix = "offered/";

std::string offeredKey(std::string_view host);

std::string encodeOfferedReport(const OfferedReport &report);
/// Errors: InvalidJson; ProtocolViolation when a member is missing, of another type or out of
/// range.
Result<OfferedReport> parseOfferedReport(std::string_view text);

} // namespace Peridot::Jobs
