#include "BackendServer.h"

#include "BackendConnection.h"
#include "ControlServer.h"
#include <StandIns/Listen.h>
#include <asio/strand.hpp>

namespace Peridot {

BackendServer::BackendServer(const BackendSettings &settings)
    : m_state(std::make_shared<BackendState>(settings)), m_acceptor(m_context)
{
}

BackendServer::~BackendServer()
{
    m_context.stop();
    for (auto &thread : m_threads)
        thread.join();
}

Result<std::unique_ptr<BackendServer>> BackendServer::start(const BackendSettings &settings)
{
    std::unique_ptr<BackendServer> server(new BackendServer(settings));
    BOOST_LEAF_CHECK(server->open());
    return server;
}

Result<void> BackendServer::open()
{
    const BackendSettings &settings = m_state->settings();
    BOOST_LEAF_ASSIGN(m_control, startControlServer(m_state));
    asio::error_code error;
    const auto address = asio::ip::make_address(settings.address, error);
    if (error)
        return makeError(ErrorCode::InvalidValue, "address", error.message());
    BOOST_LEAF_CHECK(listen(m_acceptor, {address, settings.port}, "port"));
    acceptNext();
    for (unsigned index = 0; index < settings.threads; ++index)
        m_threads.emplace_back([this] { m_context.run(); });
    return {};
}

void BackendServer::acceptNext()
{
    m_acceptor.async_accept(asio::make_strand(m_context), [this](const asio::error_code &error,
                                                                 asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            m_state->countConnection();
            std::make_shared<BackendConnection>(std::move(socket), m_state)->read();
        }
        acceptNext();
    });
}

} // namespace Peridot
