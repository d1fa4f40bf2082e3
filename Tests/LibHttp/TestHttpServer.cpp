#include <LibHttp/ClientConnection.h>
#include <LibHttp/HttpServer.h>
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace Peridot;

namespace {

struct InputCase
{
    std::string name;
    std::string bytes;
    InputFault fault;
    int status;
};

std::string manyHeaders(int count)
{
    std::string text = "GET / HTTP/1.1\r\n";
    for (int index = 0; index < count; ++index)
        text += "N" + std::to_string(index) + ": v\r\n";
    return text + "\r\n";
}

std::vector<InputCase> inputCases()
{
    const std::string start = "POST / HTTP/1.1\r\n";
    return {
        {"unknown method", "GARBAGE / HTTP/1.1\r\n\r\n", InputFault::MalformedRequest, 400},
        {"binary", std::string("\0\1\2\3\r\n\r\n", 8), InputFault::MalformedRequest, 400},
        {"bad version", "GET / HTTP/x.1\r\n\r\n", InputFault::MalformedRequest, 400},
        {"bad header name", "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n", InputFault::MalformedRequest,
         400},
        {"bad length", start + "Content-Length: x\r\n\r\n", InputFault::MalformedRequest, 400},
        {"negative length", start + "Content-Length: -1\r\n\r\n", InputFault::MalformedRequest,
         400},
        {"two lengths", start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
         InputFault::MalformedRequest, 400},
        {"length and chunked",
         start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         InputFault::MalformedRequest, 400},
        {"bad chunk", start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
         InputFault::MalformedRequest, 400},
        {"101 headers", manyHeaders(101), InputFault::TooManyHeaders, 400},
        {"long header", "GET / HTTP/1.1\r\nA: " + std::string(17000, 'a') + "\r\n\r\n",
         InputFault::HeaderBlockTooLarge, 400},
        {"many long headers",
         [] {
             std::string text = "GET / HTTP/1.1\r\n";
             for (int index = 0; index < 50; ++index)
                 text += "N" + std::to_string(index) + ": " + std::string(400, 'v') + "\r\n";
             return text + "\r\n";
         }(),
         InputFault::HeaderBlockTooLarge, 400},
        {"long target", "GET /" + std::string(17000, 'a') + " HTTP/1.1\r\n\r\n",
         InputFault::HeaderBlockTooLarge, 400},
        {"announced body above 1 MiB", start + "Content-Length: 1048577\r\n\r\n",
         InputFault::BodyTooLarge, 413},
        {"sent body above 1 MiB",
         start + "Content-Length: 2000000\r\n\r\n" + std::string(2000000, 'x'),
         InputFault::BodyTooLarge, 413},
        {"chunked body above 1 MiB",
         start + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + std::string(0x100001, 'x')
             + "\r\n0\r\n\r\n",
         InputFault::BodyTooLarge, 413},
        {"upgrade", "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
         InputFault::UpgradeRequested, 400},
        {"slow sender", "GET / HTTP/1.1\r\nA: ", InputFault::ReadTimeout, 400},
        {"slow body", start + "Content-Length: 10\r\n\r\nabc", InputFault::ReadTimeout, 400},
    };
}

struct ServerFixture
{
    explicit ServerFixture(std::chrono::milliseconds readTimeout = std::chrono::milliseconds(300))
    {
        HttpServerSettings settings;
        settings.threads = 2;
        settings.readTimeout = readTimeout;
        HttpServerHooks hooks;
        hooks.onRequest = [this](const RequestMessage &request,
                                 const std::shared_ptr<HttpResponder> &responder) {
            if (request.target == "/hold")
                return held.set_value({request.serial, responder});
            responder->send({200, {}, request.method + ' ' + request.body});
        };
        hooks.onAbandoned = [this](std::uint64_t serial) {
            abandoned.set_value(serial);
        };
        hooks.onInputFault = [this](InputFault fault, const std::string &) {
            ++refusals;
            return ResponseMessage{fault == InputFault::BodyTooLarge ? 413 : 400,
                                   {},
                                   std::string(inputFaultNames.nameOf(fault)),
                                   true};
        };
        server = HttpServer::start(settings, std::move(hooks)).value();
    }

    ~ServerFixture()
    {
        server->stop();
        // A responder that nobody took refers to a connection of the server.
        held = {};
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
        return socket;
    }

    /// Sends the bytes and returns all that the server sends until it closes the connection.
    std::string talk(const std::string &bytes)
    {
        auto socket = connect();
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        std::string received;
        asio::read(socket, asio::dynamic_buffer(received), ignored);
        return received;
    }

    asio::io_context context;
    std::atomic<int> refusals{0};
    std::promise<std::pair<std::uint64_t, std::shared_ptr<HttpResponder>>> held;
    std::promise<std::uint64_t> abandoned;
    std::unique_ptr<HttpServer> server;
};

constexpr std::chrono::seconds patience{30};

} // namespace

// Guards against a closed connection without a word, which a caller cannot tell from a crash.
TEST_CASE("Refused input gets a typed response before the connection closes")
{
    ServerFixture fixture;
    for (const auto &entry : inputCases()) {
        DYNAMIC_SECTION(entry.name)
        {
            const std::string text = fixture.talk(entry.bytes);
            MessageParser parser(MessageParser::Kind::Response);
            parser.feed(text);
            REQUIRE(parser.complete());
            REQUIRE(parser.status() == entry.status);
            REQUIRE(parser.body == inputFaultNames.nameOf(entry.fault));
            REQUIRE_FALSE(parser.keepAlive());
        }
    }
}

TEST_CASE("An idle connection closes without a response")
{
    // A response that nobody asked for would be taken for the answer to the next request.
    ServerFixture fixture;
    REQUIRE(fixture.talk("").empty());
    REQUIRE(fixture.refusals == 0);
}

TEST_CASE("Garbage behind an open request gets no refusal")
{
    // The refusal would be taken for the answer to the open request.
    ServerFixture fixture;
    REQUIRE(fixture.talk("GET /hold HTTP/1.1\r\n\r\nGARBAGE\r\n\r\n").empty());
}

TEST_CASE("Whole requests reach the handler")
{
    ServerFixture fixture;
    SECTION("with 100 headers and a body of 1 MiB")
    {
        std::string headers = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1048576\r\n";
        for (int index = 0; index < 98; ++index)
            headers += "N" + std::to_string(index) + ": v\r\n";
        const std::string text = fixture.talk(headers + "\r\n" + std::string(1048576, 'x'));
        REQUIRE(text.find("HTTP/1.1 200") == 0);
        REQUIRE(text.size() > 1048576);
    }
    SECTION("chunked")
    {
        const std::string text
            = fixture.talk("POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        REQUIRE(text.find("POST abcde") != std::string::npos);
    }
    SECTION("one after the other on one connection, even when sent at once")
    {
        const std::string text = fixture.talk(
            "GET /a HTTP/1.1\r\n\r\nDELETE /b HTTP/1.1\r\nConnection: close\r\n\r\n");
        REQUIRE(text.find("GET ") < text.find("DELETE "));
        REQUIRE(text.find("DELETE ") != std::string::npos);
    }
}

TEST_CASE("A caller that leaves is noticed while its request is open")
{
    ServerFixture fixture;
    auto held = fixture.held.get_future();
    auto abandoned = fixture.abandoned.get_future();
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(std::string("GET /hold HTTP/1.1\r\n\r\n")));
    REQUIRE(held.wait_for(patience) == std::future_status::ready);
    const auto [serial, responder] = held.get();
    socket.close();
    REQUIRE(abandoned.wait_for(patience) == std::future_status::ready);
    REQUIRE(abandoned.get() == serial);
    responder->send({200, {}, "late"});
}

// Guards against a data race on the connection counter of RESTinio, which ThreadSanitizer reports
// when two threads of the server create connections at the same time.
TEST_CASE("A request may be answered after its server was destroyed")
{
    // Guards against a process that stops with a call in progress and then uses freed memory.
    std::shared_ptr<HttpResponder> responder;
    {
        ServerFixture fixture;
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("GET /hold HTTP/1.1\r\n\r\n")));
        responder = fixture.held.get_future().get().second;
    }
    responder->send({200, {}, "late"});
}

TEST_CASE("Connections that arrive at once are served by several threads")
{
    constexpr int clients = 4;
    constexpr int connectionsPerClient = 50;
    ServerFixture fixture(patience);
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&] {
            asio::io_context context;
            std::vector<asio::ip::tcp::socket> sockets;
            for (int index = 0; index < connectionsPerClient; ++index) {
                sockets.emplace_back(context);
                sockets.back().connect(
                    {asio::ip::make_address("127.0.0.1"), fixture.server->port()});
            }
            for (auto &socket : sockets) {
                asio::error_code ignored;
                asio::write(
                    socket,
                    asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")),
                    ignored);
                std::string received;
                asio::read(socket, asio::dynamic_buffer(received), ignored);
                served += received.find("HTTP/1.1 200") == 0 ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    REQUIRE(served == clients * connectionsPerClient);
}

TEST_CASE("A port in use is a typed error")
{
    ServerFixture fixture;
    HttpServerSettings settings;
    settings.port = fixture.server->port();
    const auto code = valueOrElse(
        [&]() -> Result<ErrorCode> {
            BOOST_LEAF_CHECK(HttpServer::start(settings, {}));
            return ErrorCode::NotFound;
        },
        [](const Error &error) { return error.code; });
    REQUIRE(code == ErrorCode::ConnectionFailed);
}
