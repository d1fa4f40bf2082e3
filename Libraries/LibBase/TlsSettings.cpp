#include <LibBase/TlsSettings.h>

namespace Peridot {

std::optional<TlsSettings> parseTlsSettings(const Json::Value &value)
{
    if (value.isNull())
        return std::nullopt;
    return TlsSettings{value["certificate"].asString(), value["key"].asString()};
}

} // namespace Peridot
