#pragma once

#include <LibBase/BootClock.h>
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
    /// Time since the connection was established; 0 when there was none.
    BootClock::duration connectionAge{0};
};

/// Time limits of one exchange.
struct ExchangeTimeout
{
    template <typename Rep, typename Period>
    ExchangeTimeout(std::chrono::duration<Rep, Period> limit,
                    std::chrono::milliseconds extension = std::chrono::milliseconds(0))
        : total(limit), receiveExtension(extension)
    {
    }

    std::chrono::milliseconds total;
    /// A response that has begun to arrive may take this much longer, as long as the server does
    /// not fall silent for the total time.
    std::chrono::milliseconds receiveExtension;
};

struct ClientConnectionSettings
{
    /// An exchange that has no connection after this time ends as NotConnected. 0: its own timeout.
    std::chrono::milliseconds connectTimeout{0};
    /// Closes the connection as soon as the server does, also between exchanges, so that the next
    /// exchange connects anew instead of ending as Closed.
    bool watchIdle = false;
};

/// One plain HTTP/1.1 client connection. It sends exactly the bytes it is given, one request at a
/// time, never repeats a request, and connects on demand. Single-threaded on its context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Callback = std::function<void(Exchange)>;

    ClientConnection(asio::io_context &context, asio::ip::tcp::endpoint server,
                     ClientConnectionSettings settings = {});

    /// Text of a request with Content-Length.
    static std::string format(const RequestMessage &request);

    /// A request that could not be sent within its total time, because the connection was not
    /// established or the host was suspended, is not sent later and ends as NotConnected.
    void exchange(std::string requestText, bool answersHead, ExchangeTimeout timeout,
                  Callback callback);
    void close();
    bool connected() const { return m_connected; }

private:
    void connect();
    void write();
    void read();
    void readEnded(const asio::error_code &error, std::size_t length);
    /// The connection was closed, or reading from it failed.
    void responseEnded();
    /// Ends the exchange when the response is whole or malformed.
    void received(std::string_view bytes);
    /// Reads what has arrived already, without waiting.
    void readAvailable();
    void extendDeadline();
    void armTimer(std::chrono::steady_clock::time_point expiry);
    void finish(ExchangeEnd end);

    asio::ip::tcp::endpoint m_server;
    ClientConnectionSettings m_settings;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    MessageParser m_parser;
    std::array<char, 4UL * 1024> m_buffer{};
    std::string m_requestText;
    std::chrono::steady_clock::time_point m_deadline; ///< of the exchange
    std::chrono::milliseconds m_silenceLimit{0}; ///< while the response arrives
    std::chrono::steady_clock::time_point m_latestDeadline; ///< to which m_deadline may be extended
    BootClock::time_point m_sendBefore; ///< the request is not sent after this time
    Callback m_callback;
    bool m_connected = false;
    BootClock::time_point m_connectedAt;
    bool m_busy = false;
    bool m_reading = false; ///< a read of the current connection is pending
    std::uint64_t m_exchangeNumber = 0; ///< handlers of an earlier exchange are ignored
    std::uint64_t m_connectionNumber = 0; ///< handlers of an earlier connection are ignored
};

} // namespace Peridot
