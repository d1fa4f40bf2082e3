#pragma once

#include "LinkState.h"
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace Peridot {

/// One connection through a TCP link. Bytes and the end of the stream that arrive during a cut are
/// dropped and nobody is told. A connection that lost something stays silent after the cut, because
/// the rest of its stream would be misread; its ends notice by their own time limits.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(asio::ip::tcp::socket client, std::shared_ptr<LinkState> state);

    void start(const asio::ip::tcp::endpoint &target);

private:
    struct Direction
    {
        explicit Direction(const asio::any_io_executor &executor) : timer(executor) { }

        asio::ip::tcp::socket *from = nullptr;
        asio::ip::tcp::socket *to = nullptr;
        asio::steady_timer timer;
        std::array<char, 16UL * 1024> buffer;
    };

    void read(Direction &direction);
    void forward(Direction &direction, std::size_t size);
    void ended(Direction &direction);
    /// Whether something that arrives now is lost, now or because of an earlier loss.
    bool loses();

    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_server;
    std::shared_ptr<LinkState> m_state;
    Direction m_request;
    Direction m_answer;
    bool m_silent = false;
};

} // namespace Peridot
