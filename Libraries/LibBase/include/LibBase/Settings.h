#pragma once

#include <LibBase/Error.h>
#include <json/value.h>
#include <string>
#include <string_view>

namespace Peridot {

/// Reads a settings file (JSON with comments) and validates it against \a schemaText. Errors:
/// FileUnreadable, InvalidJson, SchemaViolation with the path of the setting.
Result<Json::Value> loadSettings(const std::string &path, std::string_view schemaText);

/// Reads a whole file. Errors: FileUnreadable.
Result<std::string> readFile(const std::string &path);

} // namespace Peridot
