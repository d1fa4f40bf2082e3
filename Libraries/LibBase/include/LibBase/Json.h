#pragma once

#include <LibBase/Error.h>
#include <json/value.h>
#include <memory>
#include <string>
#include <string_view>

namespace Peridot {

/// Parses strict JSON. Duplicate keys and trailing text are errors; comments are allowed only when
/// \a allowComments is set (settings and manifests).
/// Errors: InvalidJson, with the line and column in the detail.
Result<Json::Value> parseJson(std::string_view text, bool allowComments = false);

/// Creates a reader of strict JSON that accepts at most \a maximumDepth levels of nesting.
std::unique_ptr<Json::CharReader> makeJsonReader(int maximumDepth, bool allowComments);

/// Parses with a given \a reader, which must not be used by several threads at the same time.
Result<Json::Value> parseJson(std::string_view text, Json::CharReader &reader);

/// Whether \a text holds more than \a maximum members and elements. A short member takes some ten
/// times its text when it is parsed, so that this is checked before input of others is parsed.
bool hasMoreJsonValues(std::string_view text, std::size_t maximum);

/// Writes \a value on one line without insignificant white space.
std::string writeJson(const Json::Value &value);

/// Writes \a value with indentation, for people to read.
std::string writeIndentedJson(const Json::Value &value);

/// Validates \a value against a JSON Schema.
/// Errors: SchemaViolation, with the path of the offending value in the field; InvalidJson when the
/// schema itself is malformed.
Result<void> validateSchema(const Json::Value &value, std::string_view schemaText);

} // namespace Peridot
