#pragma once

#include "LoadSettings.h"
#include <LibBase/Error.h>
#include <cstdint>
#include <map>
#include <string>

namespace Peridot {

/// Asks the control address of each backend server for its run counts and adds them up by request
/// id. Errors: ConnectionFailed with the address in the field, InvalidJson.
Result<std::map<std::string, std::uint64_t>> readRunCounts(const LoadSettings &settings);

} // namespace Peridot
