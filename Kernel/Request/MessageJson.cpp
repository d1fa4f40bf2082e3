#include "MessageJson.h"

#include <LibBase/Json.h>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <sstream>

namespace Peridot {

namespace {

// Messages and rows are nested three levels deep.
constexpr int nestingLimit = 16;

std::unique_ptr<Json::CharReader> makeReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = nestingLimit;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

std::unique_ptr<Json::StreamWriter> makeWriter()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
}

} // namespace

Result<Json::Value> parseMessage(const std::string &text)
{
    thread_local const std::unique_ptr<Json::CharReader> reader = makeReader();
    return parseJson(text, *reader);
}

std::string writeMessage(const Json::Value &value)
{
    thread_local const std::unique_ptr<Json::StreamWriter> writer = makeWriter();
    thread_local std::ostringstream stream;
    stream.str({});
    stream.clear();
    writer->write(value, &stream);
    return stream.str();
}

} // namespace Peridot
