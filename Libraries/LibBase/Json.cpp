#include <LibBase/Json.h>

#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace Peridot {

namespace {

// Deep nesting is refused before the recursive reader can exhaust the stack.
constexpr int nestingLimit = 64;

std::string joinPath(const std::vector<std::string> &context)
{
    std::string path;
    for (const auto &part : context)
        path += part;
    return path;
}

Json::StreamWriterBuilder writerSettings(const char *indentation)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["emitUTF8"] = true;
    return builder;
}

} // namespace

std::unique_ptr<Json::CharReader> makeJsonReader(int maximumDepth, bool allowComments)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = allowComments;
    builder["strictRoot"] = false;
    builder["stackLimit"] = maximumDepth;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

Result<Json::Value> parseJson(std::string_view text, bool allowComments)
{
    // Making a reader costs more than reading a short message, so each thread keeps its own.
    static thread_local const auto strictReader = makeJsonReader(nestingLimit, false);
    static thread_local const auto commentReader = makeJsonReader(nestingLimit, true);
    return parseJson(text, allowComments ? *commentReader : *strictReader);
}

Result<Json::Value> parseJson(std::string_view text, Json::CharReader &reader)
{
    Json::Value value;
    std::string errors;
    try {
        if (!reader.parse(text.data(), text.data() + text.size(), &value, &errors))
            return makeError(ErrorCode::InvalidJson, {}, errors);
    } catch (const Json::Exception &exception) {
        return makeError(ErrorCode::InvalidJson, {}, exception.what());
    }
    return value;
}

bool hasMoreJsonValues(std::string_view text, std::size_t maximum)
{
    std::size_t values = 1;
    bool inString = false;
    for (std::size_t index = 0; index < text.size() && values <= maximum; ++index) {
        const char character = text[index];
        if (inString && character == '\\')
            ++index;
        else if (character == '"')
            inString = !inString;
        else if (!inString && (character == ',' || character == '[' || character == '{'))
            ++values;
    }
    return values > maximum;
}

std::string writeJson(const Json::Value &value)
{
    static thread_local const std::unique_ptr<Json::StreamWriter> writer(
        writerSettings("").newStreamWriter());
    static thread_local std::ostringstream stream;
    stream.str({});
    stream.clear();
    writer->write(value, &stream);
    return stream.str();
}

std::string writeIndentedJson(const Json::Value &value)
{
    return Json::writeString(writerSettings("  "), value);
}

Result<void> validateSchema(const Json::Value &value, std::string_view schemaText)
{
    BOOST_LEAF_AUTO(schemaValue, parseJson(schemaText));
    valijson::Schema schema;
    valijson::SchemaParser parser;
    try {
        parser.populateSchema(valijson::adapters::JsonCppAdapter(schemaValue), schema);
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::InvalidJson, "schema", exception.what());
    }
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::JsonCppAdapter(value), &results))
        return {};
    // The last result names the innermost value at fault, the first ones its enclosing objects.
    std::string path;
    std::string detail;
    valijson::ValidationResults::Error failure;
    while (results.popError(failure)) {
        const std::string failurePath = joinPath(failure.context);
        if (failurePath.size() >= path.size()) {
            path = failurePath;
            detail = failure.description;
        }
    }
    return makeError(ErrorCode::SchemaViolation, path, detail);
}

} // namespace Peridot
