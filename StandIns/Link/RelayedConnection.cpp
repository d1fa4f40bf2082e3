#include "RelayedConnection.h"

#include <asio/write.hpp>
#include <utility>

namespace Peridot {

RelayedConnection::RelayedConnection(asio::ip::tcp::socket client, std::shared_ptr<LinkState> state)
    : m_client(std::move(client)), m_server(m_client.get_executor()), m_state(std::move(state)),
      m_request(m_client.get_executor()), m_answer(m_client.get_executor())
{
    m_request.from = m_answer.to = &m_client;
    m_request.to = m_answer.from = &m_server;
}

void RelayedConnection::start(const asio::ip::tcp::endpoint &target)
{
    asio::error_code ignored;
    m_client.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (loses())
        return read(m_request);
    m_server.async_connect(target, [self = shared_from_this()](const asio::error_code &error) {
        if (error)
            return self->ended(self->m_answer);
        asio::error_code unused;
        self->m_server.set_option(asio::ip::tcp::no_delay(true), unused);
        self->read(self->m_request);
        self->read(self->m_answer);
    });
}

bool RelayedConnection::loses()
{
    m_silent = m_silent || m_state->isCut({});
    return m_silent;
}

void RelayedConnection::read(Direction &direction)
{
    direction.from->async_read_some(
        asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](const asio::error_code &error, std::size_t size) {
            if (error)
                return self->ended(direction);
            direction.timer.expires_after(self->m_state->delay());
            direction.timer.async_wait([self, &direction, size](const asio::error_code &) {
                self->forward(direction, size);
            });
        });
}

void RelayedConnection::forward(Direction &direction, std::size_t size)
{
    if (loses()) {
        m_state->countDropped(size);
        return read(direction);
    }
    asio::async_write(
        *direction.to, asio::buffer(direction.buffer, size),
        [self = shared_from_this(), &direction](const asio::error_code &error, std::size_t sent) {
            if (error)
                return self->ended(direction);
            self->m_state->countForwarded(sent);
            self->read(direction);
        });
}

void RelayedConnection::ended(Direction &direction)
{
    asio::error_code ignored;
    direction.from->close(ignored);
    if (!loses())
        direction.to->close(ignored);
}

} // namespace Peridot
