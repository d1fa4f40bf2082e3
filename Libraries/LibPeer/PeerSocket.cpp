#include <LibPeer/PeerSocket.h>

#include <LibBase/AddressText.h>
#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <utility>

namespace Peridot {

namespace {

constexpr std::size_t codeSize = 32; // bytes of an HMAC-SHA256

} // namespace

Result<asio::ip::udp::endpoint> parsePeerAddress(const std::string &text)
{
    const auto parts = AddressText::split(text);
    if (!parts)
        return makeError(ErrorCode::InvalidValue, text, "ip:port expected");
    asio::error_code error;
    const auto address = asio::ip::make_address(parts->address, error);
    if (error)
        return makeError(ErrorCode::InvalidValue, text, "ip:port expected");
    return asio::ip::udp::endpoint(address, parts->port);
}

Result<void> openDatagramSocket(asio::ip::udp::socket &socket,
                                const asio::ip::udp::endpoint &endpoint, const std::string &field)
{
    asio::error_code error;
    socket.open(endpoint.protocol(), error);
    if (!error)
        socket.bind(endpoint, error);
    if (!error)
        socket.non_blocking(true, error);
    if (error)
        return makeError(ErrorCode::ConnectionFailed, field, error.message());
    return {};
}

PeerSocket::PeerSocket(asio::io_context &context, PeerSocketSettings settings, Handler handler)
    : m_socket(context), m_settings(std::move(settings)), m_handler(std::move(handler)),
      m_buffer(m_settings.datagramLimit + 1)
{
}

Result<void> PeerSocket::open()
{
    BOOST_LEAF_AUTO(endpoint, parsePeerAddress(m_settings.address));
    BOOST_LEAF_CHECK(openDatagramSocket(m_socket, endpoint, m_settings.address));
    receive();
    return {};
}

void PeerSocket::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

std::string PeerSocket::localAddress() const
{
    asio::error_code error;
    const auto endpoint = m_socket.local_endpoint(error);
    if (error)
        return {};
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

std::string PeerSocket::authenticationCode(std::string_view message) const
{
    unsigned char code[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_settings.sharedKey.data(), static_cast<int>(m_settings.sharedKey.size()),
         reinterpret_cast<const unsigned char *>(message.data()), message.size(), code, &size);
    return {reinterpret_cast<const char *>(code), size};
}

void PeerSocket::send(const std::string &address, const std::string &message)
{
    if (message.size() + codeSize > m_settings.datagramLimit) {
        ++m_counters.oversized;
        return;
    }
    const std::string code = authenticationCode(message);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(code), asio::buffer(message)};
    asio::error_code error = asio::error::invalid_argument;
    const auto endpoint = valueOrElse([&] { return parsePeerAddress(address); },
                                      [](const Error &) { return asio::ip::udp::endpoint(); });
    if (endpoint.port() != 0)
        m_socket.send_to(parts, endpoint, 0, error);
    ++(error ? m_counters.sendFailures : m_counters.sent);
}

void PeerSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const asio::error_code &error, std::size_t size) {
                                    if (error == asio::error::operation_aborted)
                                        return;
                                    if (!error)
                                        received(size);
                                    // Other errors report an earlier send that was refused.
                                    if (m_socket.is_open())
                                        receive();
                                });
}

void PeerSocket::received(std::size_t size)
{
    ++m_counters.received;
    if (size > m_settings.datagramLimit) {
        ++m_counters.oversized;
        return;
    }
    if (size < codeSize) {
        ++m_counters.unauthenticated;
        return;
    }
    const std::string message(m_buffer.data() + codeSize, size - codeSize);
    const std::string code = authenticationCode(message);
    if (CRYPTO_memcmp(code.data(), m_buffer.data(), codeSize) != 0) {
        ++m_counters.unauthenticated;
        return;
    }
    if (!m_handler(message))
        ++m_counters.malformed;
}

} // namespace Peridot
