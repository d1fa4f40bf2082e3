#include <LibBase/AddressText.h>

#include <charconv>

namespace Peridot {

std::optional<AddressText> AddressText::split(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    AddressText parts;
    parts.address = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, parts.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return parts;
}

} // namespace Peridot
