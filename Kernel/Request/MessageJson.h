#pragma once

#include <LibBase/Error.h>
#include <json/value.h>
#include <string>

namespace Peridot {

/// parseJson() and writeJson() for the messages and rows of the request path: the reader and the
/// writer are built once for each thread, which costs more than a short message.
/// Errors: InvalidJson.
Result<Json::Value> parseMessage(const std::string &text);
std::string writeMessage(const Json::Value &value);

} // namespace Peridot
