#pragma once

#include <LibHttp/InputBudget.h>
#include <array>
#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <memory>
#include <string>

namespace Peridot {

/// Sends a last response on a socket, then reads and discards what the peer still sends before it
/// closes. Closing with unread input makes TCP reset the connection, and the peer may lose the
/// response. Bounded in time and bytes.
class LingeringClose : public std::enable_shared_from_this<LingeringClose>
{
public:
    /// When \a budget, which may be null, allows no further lingering socket, the response is sent
    /// as far as the send buffer takes it, and the socket is closed at once.
    static void start(asio::ip::tcp::socket socket, std::string lastResponse,
                      const std::shared_ptr<InputBudget> &budget);

    LingeringClose(asio::ip::tcp::socket socket, std::string lastResponse,
                   std::shared_ptr<InputBudget> budget);
    ~LingeringClose();
    LingeringClose(const LingeringClose &) = delete;
    LingeringClose &operator=(const LingeringClose &) = delete;

private:
    void send();
    void discard();

    asio::ip::tcp::socket m_socket;
    asio::strand<asio::any_io_executor> m_strand;
    asio::steady_timer m_timer;
    std::string m_lastResponse;
    std::shared_ptr<InputBudget> m_budget;
    std::array<char, 16UL * 1024> m_buffer{};
    std::size_t m_discardedBytes = 0;
};

} // namespace Peridot
