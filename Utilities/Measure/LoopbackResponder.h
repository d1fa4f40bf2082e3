#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <thread>

namespace Peridot {

/// Server on a loopback port that answers each POST request at once, in a thread of its own, so
/// that its processor time is not counted as that of the caller. The answer to an order that names
/// a run is {"clock_ms":1000}, that to every other request \a listAnswer.
class LoopbackResponder
{
public:
    explicit LoopbackResponder(const std::string &listAnswer);
    ~LoopbackResponder();
    LoopbackResponder(const LoopbackResponder &) = delete;
    LoopbackResponder &operator=(const LoopbackResponder &) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    class Session;

    void accept();

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_orderAnswer;
    std::string m_listAnswer;
    std::thread m_thread;
};

} // namespace Peridot
