#include <LibStore/PercentEncoding.h>

#include <charconv>

namespace Peridot {

std::string percentEncode(std::string_view text, bool keepSlashes)
{
    constexpr std::string_view plain
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        if (plain.find(character) != std::string_view::npos || (keepSlashes && character == '/')) {
            result += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 15U];
    }
    return result;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string result;
    while (!text.empty()) {
        if (text.front() != '%') {
            result += text.front();
            text.remove_prefix(1);
            continue;
        }
        if (text.size() < 3)
            return std::nullopt;
        unsigned value = 0;
        const char *end = text.data() + 3;
        const auto parsed = std::from_chars(text.data() + 1, end, value, hexadecimal);
        if (parsed.ec != std::errc{} || parsed.ptr != end)
            return std::nullopt;
        result += static_cast<char>(value);
        text.remove_prefix(3);
    }
    return result;
}

} // namespace Peridot
