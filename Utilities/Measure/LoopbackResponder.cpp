#include "LoopbackResponder.h"

#include <LibHttp/MessageParser.h>
#include <array>
#include <asio/write.hpp>
#include <memory>
#include <utility>

namespace Peridot {

namespace {

constexpr std::size_t bufferBytes = 16UL * 1024;

std::string answerWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class LoopbackResponder::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(LoopbackResponder &owner, asio::ip::tcp::socket socket)
        : m_owner(owner), m_socket(std::move(socket))
    {
        m_socket.set_option(asio::ip::tcp::no_delay(true));
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
                if (error)
                    return;
                self->m_parser.feed({self->m_buffer.data(), length});
                if (self->m_parser.complete())
                    self->answer();
                self->read();
            });
    }

private:
    void answer()
    {
        const bool isOrder = m_parser.target.starts_with("/v1/run-");
        const std::string &text = isOrder ? m_owner.m_orderAnswer : m_owner.m_listAnswer;
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(text), ignored);
        m_parser.reset();
    }

    LoopbackResponder &m_owner;
    asio::ip::tcp::socket m_socket;
    MessageParser m_parser{MessageParser::Kind::Request};
    std::array<char, bufferBytes> m_buffer{};
};

LoopbackResponder::LoopbackResponder(const std::string &listAnswer)
    : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
      m_orderAnswer(answerWith(R"({"clock_ms":1000})")), m_listAnswer(answerWith(listAnswer))
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

LoopbackResponder::~LoopbackResponder()
{
    m_context.stop();
    m_thread.join();
}

void LoopbackResponder::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        std::make_shared<Session>(*this, std::move(socket))->read();
        accept();
    });
}

} // namespace Peridot
