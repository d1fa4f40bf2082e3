#include <LibBase/Settings.h>

#include <LibBase/Json.h>
#include <fstream>
#include <sstream>

namespace Peridot {

Result<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return makeError(ErrorCode::FileUnreadable, path);
    std::ostringstream content;
    content << stream.rdbuf();
    if (stream.bad())
        return makeError(ErrorCode::FileUnreadable, path, "read error");
    return content.str();
}

Result<Json::Value> loadSettings(const std::string &path, std::string_view schemaText)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    BOOST_LEAF_AUTO(value, parseJson(text, true));
    BOOST_LEAF_CHECK(validateSchema(value, schemaText));
    return value;
}

} // namespace Peridot
