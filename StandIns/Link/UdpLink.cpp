#include "UdpLink.h"

#include <LibPeer/PeerSocket.h>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <string>

namespace Peridot {

UdpLink::UdpLink(asio::io_context &context, std::shared_ptr<LinkState> state)
    : m_socket(context), m_state(std::move(state))
{
}

Result<void> UdpLink::open(const asio::ip::address &address, const LinkDescription &link)
{
    m_target = {address, link.targetPort};
    BOOST_LEAF_CHECK(openDatagramSocket(m_socket, {address, link.port}, link.name));
    receive();
    return {};
}

void UdpLink::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const asio::error_code &error, std::size_t size) {
                                    if (error == asio::error::operation_aborted)
                                        return;
                                    // Other errors report an earlier send that was refused.
                                    if (!error)
                                        forward(size);
                                    receive();
                                });
}

void UdpLink::forward(std::size_t size)
{
    const std::string sender
        = m_sender.address().to_string() + ':' + std::to_string(m_sender.port());
    if (m_state->isCut(sender))
        return m_state->countDropped(size);
    auto datagram = std::make_shared<const std::string>(m_buffer.data(), size);
    auto timer = std::make_shared<asio::steady_timer>(m_socket.get_executor(), m_state->delay());
    timer->async_wait([this, datagram, timer, sender](const asio::error_code &error) {
        if (error || m_state->isCut(sender))
            return m_state->countDropped(datagram->size());
        asio::error_code ignored;
        m_socket.send_to(asio::buffer(*datagram), m_target, 0, ignored);
        m_state->countForwarded(datagram->size());
    });
}

} // namespace Peridot
