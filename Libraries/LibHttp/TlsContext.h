#pragma once

#include <LibBase/Error.h>
#include <LibBase/TlsSettings.h>
#include <asio/ssl/context.hpp>
#include <memory>

namespace Peridot {

using TlsContext = std::shared_ptr<asio::ssl::context>;

/// Reads the certificate and its key for a server that speaks TLS 1.2 or later. Errors:
/// FileUnreadable (certificate or key), InvalidValue (the two do not belong together).
Result<TlsContext> loadTlsContext(const TlsSettings &settings);

} // namespace Peridot
