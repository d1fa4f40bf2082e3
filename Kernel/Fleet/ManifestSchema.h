#pragma once

#include <string_view>

namespace Peridot {

/// JSON Schema of the manifest. It rejects unknown members, so that misspelt names are detected.
extern const std::string_view manifestSchema;

} // namespace Peridot
