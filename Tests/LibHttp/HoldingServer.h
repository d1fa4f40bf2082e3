#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace Peridot {

/// HTTP server on a free port that counts connections and requests. While it holds, it reads
/// requests and answers none.
class HoldingServer
{
public:
    HoldingServer()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this] { m_context.run(); })
    {
        asio::post(m_context, [this] { accept(); });
    }

    ~HoldingServer()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void hold() { m_holding = true; }

    void release()
    {
        m_holding = false;
        asio::post(m_context, [this] {
            for (const auto &connection : std::exchange(m_held, {}))
                answer(connection);
        });
    }

    std::atomic<unsigned> accepted{0};
    std::atomic<unsigned> open{0};
    std::atomic<unsigned> requests{0};

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) { }

        asio::ip::tcp::socket socket;
        std::string input;
    };
    using Shared = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept(
            [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
                if (error)
                    return;
                ++accepted;
                ++open;
                read(std::make_shared<Connection>(std::move(socket)));
                accept();
            });
    }

    void read(const Shared &connection)
    {
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->input),
                               "\r\n\r\n",
                               [this, connection](const asio::error_code &error, std::size_t size) {
                                   if (error) {
                                       --open;
                                       return;
                                   }
                                   connection->input.erase(0, size);
                                   ++requests;
                                   if (m_holding)
                                       m_held.push_back(connection);
                                   else
                                       answer(connection);
                               });
    }

    void answer(const Shared &connection)
    {
        static constexpr std::string_view text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        asio::async_write(connection->socket, asio::buffer(text),
                          [this, connection](const asio::error_code &error, std::size_t) {
                              if (error)
                                  --open;
                              else
                                  read(connection);
                          });
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work
        = asio::make_work_guard(m_context);
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_holding{false};
    std::vector<Shared> m_held;
    std::thread m_thread;
};

} // namespace Peridot
