#include "RequestId.h"

#include <algorithm>

namespace Peridot {

namespace {

constexpr std::size_t uuidLength = 36;

bool isHexadecimal(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f')
           || (character >= 'A' && character <= 'F');
}

bool isHyphenPosition(std::size_t index)
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

} // namespace

bool isUuidVersion7(std::string_view text)
{
    if (text.size() != uuidLength)
        return false;
    for (std::size_t index = 0; index < uuidLength; ++index) {
        const bool valid
            = isHyphenPosition(index) ? text[index] == '-' : isHexadecimal(text[index]);
        if (!valid)
            return false;
    }
    constexpr std::string_view variantDigits = "89abAB";
    return text[14] == '7' && variantDigits.find(text[19]) != std::string_view::npos;
}

bool isPlainRequestId(std::string_view text)
{
    return !text.empty() && text.size() <= requestIdLimit
           && std::all_of(text.begin(), text.end(), [](char character) {
                  return (character >= '0' && character <= '9')
                         || (character >= 'a' && character <= 'z')
                         || (character >= 'A' && character <= 'Z') || character == '-'
                         || character == '_' || character == '.';
              });
}

} // namespace Peridot
