#pragma once

#include "LinkSettings.h"
#include "LinkState.h"
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>

namespace Peridot {

/// Accepts connections and relays each to the target.
class TcpLink
{
public:
    TcpLink(asio::io_context &context, std::shared_ptr<LinkState> state);

    /// Errors: ConnectionFailed with the name of the link.
    Result<void> open(const asio::ip::address &address, const LinkDescription &link);
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    std::shared_ptr<LinkState> m_state;
};

} // namespace Peridot
