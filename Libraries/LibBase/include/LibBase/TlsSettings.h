#pragma once

#include <json/value.h>
#include <optional>
#include <string>

namespace Peridot {

/// Files of a server certificate, in PEM format.
struct TlsSettings
{
    std::string certificateFile; ///< certificate chain, the server's own first
    std::string keyFile; ///< private key without a pass phrase
};

/// Reads an object with the members "certificate" and "key", which was validated against a schema.
/// Returns nothing when \a value is null.
std::optional<TlsSettings> parseTlsSettings(const Json::Value &value);

} // namespace Peridot
