#pragma once

#include <string_view>

namespace Peridot {

/// Compares two secret tokens in a time that does not depend on where they differ, so that the time
/// does not reveal how much of a guess was right.
bool equalTokens(std::string_view left, std::string_view right);

} // namespace Peridot
