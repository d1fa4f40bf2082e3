#pragma once

#include <string_view>

namespace Peridot {

/// Compares two tokens in a time that does not depend on where they differ.
bool equalTokens(std::string_view left, std::string_view right);

} // namespace Peridot
