#include "LingeringClose.h"

#include <asio/bind_executor.hpp>
#include <asio/write.hpp>

namespace Peridot {

namespace {

// A sender that has not noticed the refusal by then loses it.
constexpr std::chrono::seconds lingerLimit{2};
constexpr std::size_t discardLimit = 4UL * 1024 * 1024; ///< bytes

} // namespace

void LingeringClose::start(asio::ip::tcp::socket socket, std::string lastResponse,
                           const std::shared_ptr<InputBudget> &budget)
{
    if (!budget || budget->beginLingering()) {
        std::make_shared<LingeringClose>(std::move(socket), std::move(lastResponse), budget)
            ->send();
        return;
    }
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.send(asio::buffer(lastResponse), 0, ignored);
}

LingeringClose::LingeringClose(asio::ip::tcp::socket socket, std::string lastResponse,
                               std::shared_ptr<InputBudget> budget)
    : m_socket(std::move(socket)), m_strand(m_socket.get_executor()),
      m_timer(m_socket.get_executor()), m_lastResponse(std::move(lastResponse)),
      m_budget(std::move(budget))
{
}

LingeringClose::~LingeringClose()
{
    if (m_budget)
        m_budget->endLingering();
}

void LingeringClose::send()
{
    m_timer.expires_after(lingerLimit);
    m_timer.async_wait(
        asio::bind_executor(m_strand, [self = shared_from_this()](const asio::error_code &error) {
            asio::error_code ignored;
            if (!error)
                self->m_socket.close(ignored);
        }));
    auto whenSent = [self = shared_from_this()](const asio::error_code &error, std::size_t) {
        asio::error_code ignored;
        self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        if (error)
            self->m_timer.cancel();
        else
            self->discard();
    };
    asio::async_write(m_socket, asio::buffer(m_lastResponse),
                      asio::bind_executor(m_strand, std::move(whenSent)));
}

void LingeringClose::discard()
{
    auto whenRead = [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
        self->m_discardedBytes += length;
        if (error || self->m_discardedBytes > discardLimit)
            self->m_timer.cancel();
        else
            self->discard();
    };
    m_socket.async_read_some(asio::buffer(m_buffer),
                             asio::bind_executor(m_strand, std::move(whenRead)));
}

} // namespace Peridot
