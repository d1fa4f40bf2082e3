#include "TcpLink.h"

#include "RelayedConnection.h"
#include <StandIns/Listen.h>
#include <utility>

namespace Peridot {

TcpLink::TcpLink(asio::io_context &context, std::shared_ptr<LinkState> state)
    : m_acceptor(context), m_state(std::move(state))
{
}

Result<void> TcpLink::open(const asio::ip::address &address, const LinkDescription &link)
{
    m_target = {address, link.targetPort};
    BOOST_LEAF_CHECK(listen(m_acceptor, {address, link.port}, link.name));
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
