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

/// Reads {"certificate", "key"}, already checked against a schema; a missing value gives nothing.
std::optional<TlsSettings> parseTlsSettings(const Json::Value &value);

} // namespace Peridot
