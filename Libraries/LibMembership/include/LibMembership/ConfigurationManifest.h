#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <cstdint>
#include <memory>
#include <string>

namespace Peridot {

/// Parses the manifest of a configuration version that is in force. Returns nothing and logs the
/// error when it is malformed; the process then keeps its current manifest.
std::shared_ptr<const Manifest> parseConfigurationManifest(std::uint64_t version,
                                                           const std::string &text);

} // namespace Peridot
