#include "Relay.h"

#include <asio/ip/address.hpp>

namespace Peridot {

Result<void> Relay::open(const LinkSettings &settings)
{
    const auto address = asio::ip::make_address(settings.address);
    for (const auto &link : settings.links) {
        auto state = std::make_shared<LinkState>();
        m_states[link.name] = state;
        if (link.protocol == LinkProtocol::Tcp) {
            auto &tcp = *m_tcp.emplace_back(std::make_unique<TcpLink>(m_context, state));
            BOOST_LEAF_CHECK(tcp.open(address, link));
            m_ports[link.name] = tcp.port();
        } else {
            auto &udp = *m_udp.emplace_back(std::make_unique<UdpLink>(m_context, state));
            BOOST_LEAF_CHECK(udp.open(address, link));
            m_ports[link.name] = udp.port();
        }
    }
    BOOST_LEAF_ASSIGN(m_control, startLinkControl(settings, m_states));
    return {};
}

} // namespace Peridot
