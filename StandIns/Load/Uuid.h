#pragma once

#include <LibBase/Random.h>
#include <string>

namespace Peridot {

/// UUID of version 7 (RFC 9562) with the current time and random digits.
std::string makeUuidVersion7(RandomSource &random);

} // namespace Peridot
