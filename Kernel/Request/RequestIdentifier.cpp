#include <Kernel/Request/RequestIdentifier.h>

#include <LibBase/Hexadecimal.h>
#include <array>
#include <charconv>

namespace Peridot {

namespace {

constexpr std::size_t identifierLength = 36;
constexpr std::array<std::size_t, 4> hyphenPositions{8, 13, 18, 23};
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;

bool isHyphenPosition(std::size_t position)
{
    for (const std::size_t hyphen : hyphenPositions) {
        if (hyphen == position)
            return true;
    }
    return false;
}

} // namespace

std::optional<TimePoint> requestIdTime(std::string_view text)
{
    if (text.size() != identifierLength)
        return std::nullopt;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const bool valid
            = isHyphenPosition(position) ? text[position] == '-' : isHexadecimal(text[position]);
        if (!valid)
            return std::nullopt;
    }
    constexpr std::string_view variants = "89abAB";
    if (text[versionPosition] != '7' || variants.find(text[variantPosition]) == variants.npos)
        return std::nullopt;
    const std::string digits = std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
    return fromUnixMilliseconds(milliseconds);
}

std::string canonicalRequestId(std::string_view text)
{
    std::string result(text);
    for (char &character : result) {
        if (character >= 'A' && character <= 'F')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return result;
}

} // namespace Peridot
