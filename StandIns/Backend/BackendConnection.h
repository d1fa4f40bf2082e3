#pragma once

#include "BackendState.h"
#include <LibHttp/MessageParser.h>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace Peridot {

/// One connection of the stand-in. It writes raw bytes, because its faults break HTTP on purpose.
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
    BackendConnection(asio::ip::tcp::socket socket, std::shared_ptr<BackendState> state);
    ~BackendConnection();

    void read();

private:
    void consume();
    void handleRequest();
    void execute();
    void answer();
    std::string answerBody() const;
    std::string answerText(const std::string &body) const;
    void refuse(bool leaving);
    void write(std::string text, bool closeAfter);
    void close();

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<BackendState> m_state;
    asio::steady_timer m_timer;
    MessageParser m_parser;
    std::array<char, 16UL * 1024> m_buffer{};
    std::string m_pending; ///< bytes received but not parsed
    std::string m_output;
    std::string m_requestId;
    std::uint64_t m_run = 0;
    std::uint64_t m_served = 0; ///< requests answered on this connection
    Fault m_fault = Fault::None;
    bool m_holdsSlot = false;
};

} // namespace Peridot
