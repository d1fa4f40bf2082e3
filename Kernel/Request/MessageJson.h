#pragma once

#include <LibBase/Error.h>
#include <json/value.h>
#include <string>

namespace Peridot {

/// parseJson() for the messages and rows of the request path, with a lower limit of nesting.
/// Errors: InvalidJson.
Result<Json::Value> parseMessage(const std::string &text);

} // namespace Peridot
