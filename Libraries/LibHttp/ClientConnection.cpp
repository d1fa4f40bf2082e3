#include <LibHttp/ClientConnection.h>

#include <asio/write.hpp>

namespace Peridot {

ClientConnection::ClientConnection(asio::io_context &context, asio::ip::tcp::endpoint server)
    : m_server(std::move(server)), m_socket(context), m_timer(context),
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

void ClientConnection::exchange(std::string requestText, bool answersHead,
                                std::chrono::milliseconds timeout, Callback callback)
{
    m_requestText = std::move(requestText);
    m_callback = std::move(callback);
    m_parser.reset(answersHead);
    m_busy = true;
    ++m_generation;
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [self = shared_from_this(), generation = m_generation](const asio::error_code &error) {
            if (!error && generation == self->m_generation && self->m_busy)
                self->finish(ExchangeEnd::TimedOut);
        });
    if (m_connected)
        write();
    else
        connect();
}

void ClientConnection::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
    m_connected = false;
}

void ClientConnection::connect()
{
    m_socket.async_connect(m_server, [self = shared_from_this(),
                                      generation = m_generation](const asio::error_code &error) {
        if (generation != self->m_generation || !self->m_busy)
            return;
        if (error)
            return self->finish(ExchangeEnd::NotConnected);
        self->m_connected = true;
        asio::error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
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
    m_socket.async_read_some(
        asio::buffer(m_buffer), [self = shared_from_this(), generation = m_generation](
                                    const asio::error_code &error, std::size_t length) {
            if (generation != self->m_generation || !self->m_busy)
                return;
            if (!error)
                return self->received({self->m_buffer.data(), length});
            const bool started = self->m_parser.started();
            self->m_parser.feedEnd();
            // Without a stated length, a truncated body would look whole.
            if (self->m_parser.complete() && self->m_parser.delimited())
                return self->finish(ExchangeEnd::Complete);
            self->finish(started ? ExchangeEnd::Incomplete : ExchangeEnd::Closed);
        });
}

void ClientConnection::received(std::string_view bytes)
{
    const std::size_t used = m_parser.feed(bytes);
    if (m_parser.failed())
        return finish(ExchangeEnd::Incomplete);
    if (!m_parser.complete())
        return read();
    // Bytes after the response belong to no request.
    finish(used == bytes.size() ? ExchangeEnd::Complete : ExchangeEnd::Incomplete);
}

void ClientConnection::finish(ExchangeEnd end)
{
    m_busy = false;
    ++m_generation;
    m_timer.cancel();
    Exchange result;
    result.end = end;
    if (m_parser.started()) {
        result.response.status = m_parser.status();
        result.response.headers = std::move(m_parser.headers);
        result.response.body = std::move(m_parser.body);
    }
    if (end != ExchangeEnd::Complete || !m_parser.keepAlive())
        close();
    const Callback callback = std::move(m_callback);
    callback(std::move(result));
}

} // namespace Peridot
