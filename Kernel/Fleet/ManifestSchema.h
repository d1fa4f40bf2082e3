#pragma once

#include <string_view>

namespace Peridot {

/// JSON Schema of the manifest. Unknown members are refused, so that a misspelt one is noticed.
extern const std::string_view manifestSchema;

} // namespace Peridot
