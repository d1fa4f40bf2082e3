#pragma once

#include "LinkControl.h"
#include "TcpLink.h"
#include "UdpLink.h"
#include <asio/io_context.hpp>
#include <memory>
#include <vector>

namespace Peridot {

/// All links of the stand-in on one context, and the control server on a thread of its own.
class Relay
{
public:
    explicit Relay(asio::io_context &context) : m_context(context) { }

    /// Errors: those of the links and of the control server.
    Result<void> open(const LinkSettings &settings);
    std::uint16_t controlPort() const { return m_control->port(); }
    /// Port of a link that was opened.
    std::uint16_t port(const std::string &link) const { return m_ports.at(link); }
    const LinkStates &states() const { return m_states; }

private:
    asio::io_context &m_context;
    LinkStates m_states;
    std::vector<std::unique_ptr<TcpLink>> m_tcp;
    std::vector<std::unique_ptr<UdpLink>> m_udp;
    std::map<std::string, std::uint16_t> m_ports;
    std::unique_ptr<HttpServer> m_control;
};

} // namespace Peridot
