#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace Peridot {

/// TCP server that answers the n-th request with a scripted text, or closes the connection when the
/// text is empty. It reads bodies of requests with Content-Length.
class ScriptedServer
{
public:
    using Script = std::function<std::string(unsigned request)>;

    explicit ScriptedServer(Script script)
        : m_script(std::move(script)),
          m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        m_port = m_acceptor.local_endpoint().port();
        m_thread = std::thread([this] { serve(); });
    }

    ~ScriptedServer()
    {
        m_stopping = true;
        asio::error_code error;
        asio::ip::tcp::socket wakeUp(m_context);
        wakeUp.connect({asio::ip::address_v4::loopback(), m_port}, error);
        wakeUp.close(error);
        m_thread.join();
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::string address() const { return "http://127.0.0.1:" + std::to_string(m_port); }
    unsigned requests() const { return m_requests; }

    static std::string answer(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
               + "\r\n\r\n" + body;
    }

private:
    // One connection at a time is enough: the clients of these tests have no two requests open.
    void serve()
    {
        while (!m_stopping) {
            asio::error_code error;
            asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            while (!error && serveRequest(socket)) { }
        }
    }

    bool serveRequest(asio::ip::tcp::socket &socket)
    {
        std::string text;
        asio::error_code error;
        const std::size_t headerLength
            = asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
        if (error)
            return false;
        const std::string name = "Content-Length: ";
        const auto position = text.find(name);
        const std::size_t length
            = position == std::string::npos ? 0 : std::stoul(text.substr(position + name.size()));
        while (!error && text.size() < headerLength + length) {
            char buffer[4096];
            text.append(buffer, socket.read_some(asio::buffer(buffer), error));
        }
        if (error)
            return false;
        const std::string reply = m_script(m_requests++);
        if (reply.empty())
            return false;
        asio::write(socket, asio::buffer(reply), error);
        return !error;
    }

    Script m_script;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<unsigned> m_requests{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace Peridot
