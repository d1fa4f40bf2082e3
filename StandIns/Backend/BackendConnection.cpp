#include "BackendConnection.h"

#include <LibBase/Json.h>
#include <asio/write.hpp>

namespace Peridot {

BackendConnection::BackendConnection(asio::ip::tcp::socket socket,
                                     std::shared_ptr<BackendState> state)
    : m_socket(std::move(socket)), m_state(std::move(state)), m_timer(m_socket.get_executor()),
      m_parser(MessageParser::Kind::Request)
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

BackendConnection::~BackendConnection()
{
    if (m_holdsSlot)
        m_state->returnSlot();
}

void BackendConnection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
            if (error)
                return self->close();
            self->m_pending.append(self->m_buffer.data(), length);
            self->consume();
        });
}

void BackendConnection::consume()
{
    m_pending.erase(0, m_parser.feed(m_pending));
    if (m_parser.failed())
        return close();
    if (m_parser.complete())
        return handleRequest();
    read();
}

void BackendConnection::handleRequest()
{
    m_state->recordArrival();
    const std::string *id = findHeader(m_parser.headers, "Request-Id");
    m_requestId = id != nullptr ? *id : std::string();
    const std::string *name = findHeader(m_parser.headers, "Peridot-Fault");
    const auto requested = name != nullptr ? faultNames.valueOf(*name) : std::nullopt;
    m_fault = m_state->nextFault(requested.value_or(Fault::None));
    if (m_fault == Fault::Refuse || m_fault == Fault::Leaving)
        return refuse(m_fault == Fault::Leaving);
    if (!m_state->takeSlot())
        return refuse(false);
    m_holdsSlot = true;
    execute();
}

void BackendConnection::execute()
{
    m_run = m_state->countRun(m_requestId);
    std::chrono::microseconds time = m_state->serviceTime();
    if (m_fault == Fault::Slow)
        time = m_state->settings().slowTime;
    if (m_fault == Fault::FailFast)
        time = std::chrono::microseconds(0);
    if (time.count() == 0)
        return answer();
    m_timer.expires_after(time);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &) { self->answer(); });
}

void BackendConnection::answer()
{
    m_holdsSlot = false;
    m_state->returnSlot();
    const std::string body = answerBody();
    switch (m_fault) {
    case Fault::CloseBeforeAnswer:
        return close();
    case Fault::CloseReused:
        if (m_served > 0)
            return close();
        break;
    case Fault::DieInBody:
    case Fault::WrongLength: {
        std::string text = answerText(body + std::string(body.size(), 'x'));
        // DieInBody cuts a correct answer; WrongLength sends the whole body under a larger length.
        const std::size_t cut = m_fault == Fault::DieInBody ? body.size() * 3 / 2 : body.size();
        return write(text.substr(0, text.size() - cut), true);
    }
    case Fault::DieInChunkedBody:
        return write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true);
    case Fault::Undelimited:
        return write("HTTP/1.1 200 OK\r\n\r\n" + body, true);
    case Fault::ExcessLength:
        return write(answerText(body) + "excess bytes", false);
    default:
        break;
    }
    write(answerText(body), !m_parser.keepAlive());
}

std::string BackendConnection::answerBody() const
{
    Json::Value value;
    value["server"] = m_state->settings().name;
    value["request_id"] = m_requestId;
    value["run"] = Json::UInt64(m_run);
    value["target"] = m_parser.target;
    value["payload"] = m_parser.body;
    return m_parser.method() == "HEAD" ? std::string() : writeJson(value);
}

std::string BackendConnection::answerText(const std::string &body) const
{
    std::string text = m_fault == Fault::FailFast ? "HTTP/1.1 500 Internal Server Error\r\n"
                                                  : "HTTP/1.1 200 OK\r\n";
    text += "Content-Type: application/json\r\n";
    if (!m_requestId.empty())
        text += "Request-Id: " + (m_fault == Fault::WrongId ? "other" : m_requestId) + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void BackendConnection::refuse(bool leaving)
{
    write(std::string("HTTP/1.1 503 Service Unavailable\r\nPeridot-Refused: 1\r\n")
              + (leaving ? "Peridot-Leaving: 1\r\n" : "") + "Content-Length: 0\r\n\r\n",
          !m_parser.keepAlive());
}

void BackendConnection::write(std::string text, bool closeAfter)
{
    m_output = std::move(text);
    asio::async_write(
        m_socket, asio::buffer(m_output),
        [self = shared_from_this(), closeAfter](const asio::error_code &error, std::size_t) {
            if (error || closeAfter)
                return self->close();
            ++self->m_served;
            self->m_parser.reset();
            self->consume();
        });
}

void BackendConnection::close()
{
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

} // namespace Peridot
