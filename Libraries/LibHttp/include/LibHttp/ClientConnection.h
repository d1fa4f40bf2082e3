#pragma once

#include <LibBase/EnumTable.h>
#include <LibHttp/MessageParser.h>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Peridot {

/// How an exchange of a ClientConnection ended.
enum class ExchangeEnd {
    Complete, ///< whole response
    NotConnected, ///< nothing was sent
    Closed, ///< the connection ended before the first byte of the response
    Incomplete, ///< the response ended early or is malformed
    TimedOut,
};

constexpr auto exchangeEndNames = makeEnumTable<ExchangeEnd>({
    {ExchangeEnd::Complete, "complete"},
    {ExchangeEnd::NotConnected, "not-connected"},
    {ExchangeEnd::Closed, "closed"},
    {ExchangeEnd::Incomplete, "incomplete"},
    {ExchangeEnd::TimedOut, "timed-out"},
});

struct Exchange
{
    ExchangeEnd end = ExchangeEnd::NotConnected;
    ResponseMessage response;
};

/// One plain HTTP/1.1 client connection for stand-ins, measurements and tests. It sends exactly the
/// bytes it is given, one request at a time, never repeats one, and connects when it needs to.
/// Single-threaded on its context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Callback = std::function<void(Exchange)>;

    ClientConnection(asio::io_context &context, asio::ip::tcp::endpoint server);

    /// Text of a request with Content-Length.
    static std::string format(const RequestMessage &request);

    void exchange(std::string requestText, bool answersHead, std::chrono::milliseconds timeout,
                  Callback callback);
    void close();
    bool connected() const { return m_connected; }

private:
    void connect();
    void write();
    void read();
    void received(std::string_view bytes);
    void finish(ExchangeEnd end);

    asio::ip::tcp::endpoint m_server;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    MessageParser m_parser;
    std::array<char, 16UL * 1024> m_buffer{};
    std::string m_requestText;
    Callback m_callback;
    bool m_connected = false;
    bool m_busy = false;
    std::uint64_t m_generation = 0; ///< handlers of an earlier connection or exchange are ignored
};

} // namespace Peridot
