#pragma once

#include <LibBase/Error.h>
#include <asio/ip/tcp.hpp>
#include <string>

namespace Peridot {

/// Binds \a acceptor and lets it listen. Errors: ConnectionFailed with \a field.
Result<void> listen(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &endpoint,
                    const std::string &field);

} // namespace Peridot
