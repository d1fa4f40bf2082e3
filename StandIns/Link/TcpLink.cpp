#include "TcpLink.h"

#include "RelayedConnection.h"
#include <utility>

namespace Peridot {

TcpLink::TcpLink(asio::io_context &context, std::shared_ptr<LinkState> state)
    : m_acceptor(context), m_state(std::move(state))
{
}

Result<void> TcpLink::open(const asio::ip::address &address, const LinkDescription &link)
{
    m_target = {address, link.targetPort};
    const asio::ip::tcp::endpoint endpoint(address, link.port);
    asio::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError(ErrorCode::ConnectionFailed, link.name, error.message());
    accept();
    return {};
}

void TcpLink::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<RelayedConnection>(std::move(socket), m_state)->start(m_target);
        accept();
    });
}

} // namespace Peridot
