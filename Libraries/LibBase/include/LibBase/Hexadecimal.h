#pragma once

namespace Peridot {

/// Whether \a character is a hexadecimal digit, of either case.
constexpr bool isHexadecimal(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f')
           || (character >= 'A' && character <= 'F');
}

} // namespace Peridot
