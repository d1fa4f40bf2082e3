#include <LibHttp/ClientConnection.h>

#include <algorithm>
#include <asio/write.hpp>
#include <utility>

namespace Peridot {

namespace {

// A process that handles its events late reads a large response in few steps.
constexpr std::size_t receiveBufferBytes = 64UL * 1024;
constexpr unsigned readsPerStep = 64;

} // namespace

ClientConnection::ClientConnection(asio::io_context &context, asio::ip::tcp::endpoint server,
                                   ClientConnectionSettings settings)
    : m_server(std::move(server)), m_settings(settings), m_socket(context), m_timer(context),
      m_parser(MessageParser::Kind::Response)
{
}

std::string ClientConnection::format(const RequestMessage &request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (findHeader(request.headers, "Host") == nullptr)
        text += "Host: peridot\r\n";
    for (const auto &header : request.headers)
        text += header.name + ": " + header.value + "\r\n";
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

void ClientConnection::exchange(std::string requestText, bool answersHead, ExchangeTimeout timeout,
                                Callback callback)
{
    m_requestText = std::move(requestText);
    m_callback = std::move(callback);
    m_parser.reset(answersHead);
    m_busy = true;
    ++m_exchangeNumber;
    m_silenceLimit = timeout.total;
    m_deadline = std::chrono::steady_clock::now() + timeout.total;
    m_latestDeadline = m_deadline + timeout.receiveExtension;
    m_sendBefore = BootClock::now() + timeout.total;
    if (!m_connected)
        return connect();
    armTimer(m_deadline);
    write();
}

void ClientConnection::armTimer(std::chrono::steady_clock::time_point expiry)
{
    m_timer.expires_at(expiry);
    m_timer.async_wait(
        [self = shared_from_this(), exchange = m_exchangeNumber](const asio::error_code &error) {
            if (error || exchange != self->m_exchangeNumber || !self->m_busy)
                return;
            if (self->m_connected && std::chrono::steady_clock::now() < self->m_deadline)
                return self->armTimer(self->m_deadline);
            self->finish(self->m_connected ? ExchangeEnd::TimedOut : ExchangeEnd::NotConnected);
        });
}

void ClientConnection::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
    m_connected = false;
    m_reading = false;
    ++m_connectionNumber;
}

void ClientConnection::connect()
{
    const bool limited = m_settings.connectTimeout.count() > 0;
    const auto limit = std::chrono::steady_clock::now() + m_settings.connectTimeout;
    armTimer(limited ? std::min(limit, m_deadline) : m_deadline);
    m_socket.async_connect(m_server, [self = shared_from_this(), connection = m_connectionNumber](
                                         const asio::error_code &error) {
        if (connection != self->m_connectionNumber || !self->m_busy)
            return;
        if (error)
            return self->finish(ExchangeEnd::NotConnected);
        if (BootClock::now() >= self->m_sendBefore)
            return self->finish(ExchangeEnd::NotConnected);
        self->m_connected = true;
        self->m_connectedAt = BootClock::now();
        asio::error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_socket.non_blocking(true, ignored);
        self->armTimer(self->m_deadline);
        self->write();
    });
}

void ClientConnection::write()
{
    // The response may arrive, and the connection may close, before the request is written whole.
    asio::async_write(m_socket, asio::buffer(m_requestText),
                      [self = shared_from_this()](const asio::error_code &, std::size_t) {});
    read();
}

void ClientConnection::read()
{
    if (std::exchange(m_reading, true))
        return;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this(), connection = m_connectionNumber](
                                 const asio::error_code &error, std::size_t length) {
                                 if (connection != self->m_connectionNumber)
                                     return;
                                 self->m_reading = false;
                                 self->readEnded(error, length);
                             });
}

void ClientConnection::readEnded(const asio::error_code &error, std::size_t length)
{
    // Between exchanges a server has nothing to say; bytes would belong to no request.
    if (!m_busy)
        return close();
    if (error)
        return responseEnded();
    const std::uint64_t exchange = m_exchangeNumber;
    received({m_buffer.data(), length});
    if (exchange == m_exchangeNumber)
        readAvailable();
}

void ClientConnection::responseEnded()
{
    const bool started = m_parser.started();
    m_parser.feedEnd();
    // Without a stated length, a truncated body would look whole.
    if (m_parser.complete() && m_parser.delimited())
        return finish(ExchangeEnd::Complete);
    finish(started ? ExchangeEnd::Incomplete : ExchangeEnd::Closed);
}

void ClientConnection::received(std::string_view bytes)
{
    const std::size_t used = m_parser.feed(bytes);
    if (m_parser.failed())
        return finish(ExchangeEnd::Incomplete);
    if (!m_parser.complete())
        return extendDeadline();
    // Bytes after the response belong to no request.
    finish(used == bytes.size() ? ExchangeEnd::Complete : ExchangeEnd::Incomplete);
}

void ClientConnection::readAvailable()
{
    static thread_local std::array<char, receiveBufferBytes> buffer;
    const std::uint64_t exchange = m_exchangeNumber;
    for (unsigned reads = 0; reads < readsPerStep && exchange == m_exchangeNumber; ++reads) {
        asio::error_code error;
        const std::size_t length = m_socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block)
            break;
        if (error)
            return responseEnded();
        received({buffer.data(), length});
    }
    if (exchange == m_exchangeNumber)
        read();
}

void ClientConnection::extendDeadline()
{
    const auto extended = std::chrono::steady_clock::now() + m_silenceLimit;
    m_deadline = std::max(m_deadline, std::min(extended, m_latestDeadline));
}

void ClientConnection::finish(ExchangeEnd end)
{
    m_busy = false;
    ++m_exchangeNumber;
    m_timer.cancel();
    Exchange result;
    result.end = end;
    if (m_connected)
        result.connectionAge = BootClock::now() - m_connectedAt;
    if (m_parser.started()) {
        result.response.status = m_parser.status();
        result.response.headers = std::move(m_parser.headers);
        result.response.body = std::move(m_parser.body);
    }
    if (end != ExchangeEnd::Complete || !m_parser.keepAlive())
        close();
    else if (m_settings.watchIdle)
        read();
    const Callback callback = std::move(m_callback);
    callback(std::move(result));
}

} // namespace Peridot
