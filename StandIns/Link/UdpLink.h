#pragma once

#include "LinkSettings.h"
#include "LinkState.h"
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <memory>

namespace Peridot {

/// Forwards datagrams to the target. The target answers to an address that it knows from the
/// content, so nothing goes back through this link.
class UdpLink
{
public:
    UdpLink(asio::io_context &context, std::shared_ptr<LinkState> state);

    /// Errors: ConnectionFailed with the name of the link.
    Result<void> open(const asio::ip::address &address, const LinkDescription &link);
    std::uint16_t port() const { return m_socket.local_endpoint().port(); }

private:
    void receive();
    void forward(std::size_t size);

    static constexpr std::size_t datagramLimit = 64UL * 1024; ///< bytes

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
    asio::ip::udp::endpoint m_target;
    std::shared_ptr<LinkState> m_state;
    std::array<char, datagramLimit> m_buffer;
};

} // namespace Peridot
