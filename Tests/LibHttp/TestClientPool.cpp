#include "HoldingServer.h"

#include <LibHttp/ClientPool.h>
#include <asio/executor_work_guard.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace Peridot;

namespace {

constexpr std::chrono::seconds farTimeout{60}; // never reached unless a request is stuck
constexpr std::chrono::seconds receiveExtension{5};
constexpr std::size_t pieceBytes = 256UL * 1024; // of a large answer

/// Answers one request on each connection and closes it, although it said it would stay open.
class ClosingServer
{
public:
    explicit ClosingServer(asio::io_context &context)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }
    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
                if (error)
                    return;
                serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
                accept();
            });
    }
    void serve(const std::shared_ptr<asio::ip::tcp::socket> &socket)
    {
        const auto input = std::make_shared<std::string>();
        asio::async_read_until(
            *socket, asio::dynamic_buffer(*input), "\r\n\r\n",
            [socket, input](const asio::error_code &error, std::size_t) {
                if (error)
                    return;
                asio::write(*socket, asio::buffer(std::string(
                                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
                socket->close();
            });
    }

    asio::ip::tcp::acceptor m_acceptor;
};

/// Answers one request with a body of \a bodyBytes, in pieces with a pause after each of them.
class LargeAnswerServer
{
public:
    LargeAnswerServer(std::size_t bodyBytes, std::chrono::milliseconds pause)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, bodyBytes, pause] { serve(bodyBytes, pause); })
    {
    }
    ~LargeAnswerServer() { m_thread.join(); }
    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    void serve(std::size_t bodyBytes, std::chrono::milliseconds pause)
    {
        asio::ip::tcp::socket socket = m_acceptor.accept();
        std::string input;
        asio::error_code ignored; // the client may give up
        asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", ignored);
        const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
        asio::write(socket, asio::buffer(head), ignored);
        const std::string piece(pieceBytes, 'x');
        for (std::size_t sent = 0; sent < bodyBytes && !ignored; sent += pieceBytes) {
            asio::write(socket, asio::buffer(piece), ignored);
            std::this_thread::sleep_for(pause);
        }
        asio::read(socket, asio::dynamic_buffer(input), ignored); // until the client closes
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// A pool and a count of the ends of its exchanges.
struct PoolFixture
{
    void start(const asio::ip::tcp::endpoint &server,
               std::chrono::milliseconds timeout = farTimeout)
    {
        pool->exchange(server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", {timeout, receiveExtension},
                       [this](const Exchange &exchange) { ends.push_back(exchange.end); });
    }
    void runUntilEnded(std::size_t count)
    {
        while (ends.size() < count)
            context.run_one();
    }
    void makePool(std::size_t connectionsPerServer, std::chrono::milliseconds idleTimeout = {})
    {
        ClientPoolSettings settings;
        settings.idleTimeout = idleTimeout;
        settings.connectTimeout = farTimeout;
        settings.connectionsPerServer = connectionsPerServer;
        pool = std::make_unique<ClientPool>(context, settings);
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    std::unique_ptr<ClientPool> pool;
    std::vector<ExchangeEnd> ends;
};

asio::ip::tcp::endpoint endpointOf(const HoldingServer &server)
{
    return {asio::ip::make_address("127.0.0.1"), server.port()};
}

} // namespace

TEST_CASE("A pool sends requests over as few connections as it can")
{
    PoolFixture fixture;
    HoldingServer server;
    SECTION("requests one after the other share a connection")
    {
        fixture.makePool(8);
        for (std::size_t request = 1; request <= 3; ++request) {
            fixture.start(endpointOf(server));
            fixture.runUntilEnded(request);
        }
        REQUIRE(server.accepted == 1);
    }
    SECTION("requests above the limit wait, and all are answered")
    {
        fixture.makePool(1);
        for (unsigned request = 0; request < 3; ++request)
            fixture.start(endpointOf(server));
        fixture.runUntilEnded(3);
        REQUIRE(server.accepted == 1);
        REQUIRE(server.requests == 3);
    }
    for (const ExchangeEnd end : fixture.ends)
        REQUIRE(end == ExchangeEnd::Complete);
}

TEST_CASE("A connection that is not used is closed after a while")
{
    // Guards against connections that a server can accept from no other process.
    PoolFixture fixture;
    HoldingServer server;
    fixture.makePool(8, std::chrono::milliseconds(60));
    for (std::size_t request = 1; request <= 4; ++request) {
        fixture.start(endpointOf(server));
        fixture.runUntilEnded(request);
        fixture.context.run_for(std::chrono::milliseconds(30));
    }
    CHECK(server.accepted == 1); // it was used again in time
    fixture.context.run_for(std::chrono::milliseconds(200));
    CHECK(server.open == 0);
    fixture.start(endpointOf(server));
    fixture.runUntilEnded(5);
    CHECK(fixture.ends.back() == ExchangeEnd::Complete);
}

TEST_CASE("A connection that its server closed is not used again")
{
    // Guards against an order that is lost with a connection that was closed long before.
    PoolFixture fixture;
    fixture.makePool(8);
    ClosingServer server(fixture.context);
    for (std::size_t request = 1; request <= 3; ++request) {
        fixture.start(server.endpoint());
        fixture.runUntilEnded(request);
        // The end of the connection arrives on the loopback right after the answer.
        fixture.context.run_for(std::chrono::milliseconds(20));
    }
    REQUIRE(fixture.ends == std::vector<ExchangeEnd>(3, ExchangeEnd::Complete));
}

TEST_CASE("A request to a server that refuses connections ends as not sent")
{
    PoolFixture fixture;
    fixture.makePool(8);
    asio::ip::tcp::acceptor closed(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto endpoint = closed.local_endpoint();
    closed.close();
    fixture.start(endpoint);
    fixture.runUntilEnded(1);
    REQUIRE(fixture.ends.front() == ExchangeEnd::NotConnected);
}

TEST_CASE("A request is not sent after its time, not even when the process was held up meanwhile")
{
    // Guards against orders that a suspended process sends when it wakes, although its permission
    // to send them has expired. The context is not run for a while, as if the process stood still.
    PoolFixture fixture;
    fixture.makePool(1);
    asio::ip::tcp::acceptor acceptor(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto exchange = [&] {
        fixture.pool->exchange(
            acceptor.local_endpoint(), "POST / HTTP/1.1\r\n\r\n", std::chrono::milliseconds(30),
            [&](const Exchange &exchange) { fixture.ends.push_back(exchange.end); });
    };
    exchange();
    exchange(); // waits for the only connection
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    fixture.runUntilEnded(2);
    CHECK(fixture.ends
          == std::vector<ExchangeEnd>{ExchangeEnd::NotConnected, ExchangeEnd::NotConnected});
    asio::ip::tcp::socket accepted = acceptor.accept();
    asio::error_code error;
    CHECK(accepted.available(error) == 0);
}

TEST_CASE("A large answer is read in time by a process that handles its events late")
{
    // Guards against answers that were read in many small steps, each of them late: the change feed
    // of the store timed out, and its next answer was larger still, so that no change was ever
    // learned of (UNASKED, MIXED).
    constexpr std::size_t bodyBytes = 16 * pieceBytes;
    constexpr std::chrono::milliseconds eventDelay{20};
    PoolFixture fixture;
    fixture.makePool(1);
    std::function<void()> delayEvents = [&] {
        std::this_thread::sleep_for(eventDelay);
        if (fixture.ends.empty())
            asio::post(fixture.context, delayEvents);
    };
    asio::post(fixture.context, delayEvents);
    const auto endOfAnswer
        = [&](std::chrono::milliseconds pause, std::chrono::milliseconds timeout) {
              LargeAnswerServer server(bodyBytes, pause);
              fixture.start(server.endpoint(), timeout);
              fixture.runUntilEnded(1);
              fixture.pool.reset();
              return fixture.ends.front();
          };

    SECTION("when the server sends it at once")
    {
        REQUIRE(endOfAnswer(std::chrono::milliseconds(0), std::chrono::milliseconds(2000))
                == ExchangeEnd::Complete);
    }
    SECTION("when the timeout passes while the answer is arriving")
    {
        REQUIRE(endOfAnswer(std::chrono::milliseconds(50), std::chrono::milliseconds(300))
                == ExchangeEnd::Complete);
    }
    SECTION("but a server that falls silent meets the timeout")
    {
        REQUIRE(endOfAnswer(std::chrono::milliseconds(1000), std::chrono::milliseconds(300))
                == ExchangeEnd::TimedOut);
    }
}
