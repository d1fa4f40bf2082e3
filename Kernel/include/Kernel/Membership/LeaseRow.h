#pragma once

#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Peridot {

/// Value of a row lease/<name>. A released lease keeps its row, with an empty holder, so that the
/// fencing epoch never repeats.
struct LeaseRow
{
    std::string holder;
    std::uint64_t epoch = 0; ///< grows with every acquisition
    Duration duration{0}; ///< free after others observed the same row version for this long
    std::int64_t expiryMilliseconds = 0; ///< on the clock of the holder; only for diagnosis
    std::string operation; ///< operation id of the write, to resolve unknown outcomes
};

std::string writeLeaseRow(const LeaseRow &row);
/// Errors: InvalidJson, InvalidValue.
Result<LeaseRow> parseLeaseRow(std::string_view text);

} // namespace Peridot
