#include <LibBase/Token.h>

#include <algorithm>

namespace Peridot {

bool equalTokens(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t index = 0; index < std::min(left.size(), right.size()); ++index)
        difference |= static_cast<unsigned char>(left[index] ^ right[index]);
    return difference == 0;
}

} // namespace Peridot
