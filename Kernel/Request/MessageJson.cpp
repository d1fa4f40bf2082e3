#include "MessageJson.h"

#include <LibBase/Json.h>
#include <json/reader.h>
#include <memory>

namespace Peridot {

namespace {

// Valid messages and rows have at most three levels of nesting.
constexpr int nestingLimit = 16;

} // namespace

Result<Json::Value> parseMessage(const std::string &text)
{
    thread_local const std::unique_ptr<Json::CharReader> reader
        = makeJsonReader(nestingLimit, false);
    return parseJson(text, *reader);
}

} // namespace Peridot
