#pragma once

#include <algorithm>
#include <string_view>

namespace Peridot {

constexpr std::size_t requestIdLimit = 64; ///< characters

/// Whether \a text consists of 1 to requestIdLimit letters, digits and "-_.".
inline bool isPlainRequestId(std::string_view text)
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
