#pragma once

#include <LibBase/Error.h>
#include <json/value.h>
#include <string>

namespace Peridot {

/// Parses a slot message or a claim row. Calls parseJson() with a lower limit on the nesting depth.
/// Errors: InvalidJson.
Result<Json::Value> parseMessage(const std::string &text);

} // namespace Peridot
