#pragma once

#include <LibBase/Error.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Peridot {

/// Row placement/<pool>. Every transaction that places tasks on hosts of the pool writes it, so
/// that two plans made from the same view cannot both use the same capacity. It is separate from
/// the pool row so that placement and permits do not conflict with each other.
struct PlacementRecord
{
    std::uint64_t sequence = 0;
    std::map<std::string, std::string> loans; ///< tasks of other pools: task name to host
};

/// Errors: InvalidJson, MissingField, InvalidValue; the field is the path inside the row.
Result<PlacementRecord> parsePlacementRecord(std::string_view text);
std::string encodePlacementRecord(const PlacementRecord &record);

} // namespace Peridot
