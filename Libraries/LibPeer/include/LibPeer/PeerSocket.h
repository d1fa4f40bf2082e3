#pragma once

#include <LibBase/Error.h>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot {

struct PeerSocketSettings
{
    std::string address; ///< "ip:port" to bind; port 0 binds any free port
    std::string sharedKey; ///< key of all members; datagrams without a valid code are dropped
    std::size_t datagramLimit = 60000; ///< bytes of a datagram, with the authentication code
};

/// Parses "ip:port". Errors: InvalidValue with the text in the field.
Result<asio::ip::udp::endpoint> parsePeerAddress(const std::string &text);

/// Opens and binds a non-blocking \a socket. Errors: ConnectionFailed with \a field.
Result<void> openDatagramSocket(asio::ip::udp::socket &socket,
                                const asio::ip::udp::endpoint &endpoint, const std::string &field);

/// Authenticated datagrams between member processes. Each one starts with an HMAC-SHA256 of the
/// message under the shared key. Runs on the thread of the context.
class PeerSocket
{
public:
    /// Returns whether the message is well formed.
    using Handler = std::function<bool(const std::string &message)>;

    struct Counters
    {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t unauthenticated = 0; ///< wrong or missing authentication code
        std::uint64_t malformed = 0; ///< refused by the handler
        std::uint64_t oversized = 0; ///< not sent, or cut off on arrival
        std::uint64_t sendFailures = 0;
    };

    PeerSocket(asio::io_context &context, PeerSocketSettings settings, Handler handler);

    /// Errors: InvalidValue for the address, ConnectionFailed when it cannot be bound.
    Result<void> open();
    void close();
    /// Sends without waiting. The datagram may be lost; only failures to send it are counted.
    void send(const std::string &address, const std::string &message);
    /// Bound address, "ip:port".
    std::string localAddress() const;
    const Counters &counters() const { return m_counters; }

private:
    void receive();
    void received(std::size_t size);
    std::string authenticationCode(std::string_view message) const;

    asio::ip::udp::socket m_socket;
    PeerSocketSettings m_settings;
    Handler m_handler;
    Counters m_counters;
    asio::ip::udp::endpoint m_sender;
    std::vector<char> m_buffer;
};

} // namespace Peridot
