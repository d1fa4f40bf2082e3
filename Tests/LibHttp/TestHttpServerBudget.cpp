#include <LibHttp/HttpServer.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace Peridot;

namespace {

/// Server with a budget of two connections and of some requests. Requests to /hold stay open.
struct BudgetServerFixture
{
    BudgetServerFixture()
    {
        HttpServerSettings settings;
        settings.maximumConnections = 2;
        settings.maximumBodyBytes = 1024UL * 1024;
        settings.readTimeout = std::chrono::minutes(5); // only the budget closes connections
        settings.budget = budget;
        HttpServerHooks hooks;
        hooks.onInputFault = plainRefusal;
        hooks.onRequest = [this](const RequestMessage &request,
                                 const std::shared_ptr<HttpResponder> &responder) {
            if (request.target == "/hold")
                return held.set_value(responder);
            responder->send({200, {}, "served"});
        };
        server = HttpServer::start(settings, std::move(hooks)).value();
    }
    ~BudgetServerFixture()
    {
        server->stop();
        held = {};
    }

    asio::ip::tcp::socket connect(const std::string &bytes)
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
        asio::write(socket, asio::buffer(bytes));
        return socket;
    }
    /// Waits until the server closes the connection.
    static std::string readAll(asio::ip::tcp::socket &socket)
    {
        std::string received;
        asio::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(received), ignored);
        return received;
    }
    std::string talk(const std::string &bytes)
    {
        auto socket = connect(bytes);
        return readAll(socket);
    }

    asio::io_context context;
    std::shared_ptr<InputBudget> budget
        = std::make_shared<InputBudget>(InputBudget::Limits{1024UL * 1024, 2});
    std::promise<std::shared_ptr<HttpResponder>> held;
    std::unique_ptr<HttpServer> server;
};

const std::string request = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
const std::string unfinished = "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc";

} // namespace

TEST_CASE_METHOD(BudgetServerFixture, "A server with a budget")
{
    SECTION("refuses the oldest unfinished requests when a connection arrives")
    {
        // Guards against stalled clients that keep ordinary ones from being accepted.
        auto first = connect(unfinished);
        auto second = connect(unfinished);
        CHECK(talk(request).starts_with("HTTP/1.1 200"));
        const std::string refusal = readAll(first);
        CHECK(refusal.starts_with("HTTP/1.1 503"));
        CHECK(refusal.find("Retry-After: 1") != std::string::npos);
        CHECK(budget->refusals(InputLimit::Connections) == 1);
    }
    SECTION("closes idle connections without a response that nobody asked for")
    {
        auto idle = connect("GET / HTTP/1.1\r\n\r\n");
        std::string answer;
        asio::read_until(idle, asio::dynamic_buffer(answer), "served");
        CHECK(talk(request).starts_with("HTTP/1.1 200"));
        auto second = connect(unfinished);
        auto third = connect(unfinished);
        CHECK(readAll(idle).empty());
    }
    SECTION("keeps a request in handling")
    {
        auto holding = connect("GET /hold HTTP/1.1\r\nConnection: close\r\n\r\n");
        const auto responder = held.get_future().get();
        auto second = connect(unfinished);
        CHECK(talk(request).starts_with("HTTP/1.1 200"));
        CHECK(talk(request).starts_with("HTTP/1.1 200"));
        responder->send({200, {}, "late"});
        CHECK(readAll(holding).starts_with("HTTP/1.1 200"));
    }
    SECTION("refuses a whole request for which it has no room")
    {
        // Fits while it is read, but not with what its handling is charged.
        const std::string body(300UL * 1024, 'x');
        const std::string text = talk("POST / HTTP/1.1\r\nContent-Length: "
                                      + std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(text.starts_with("HTTP/1.1 503"));
        CHECK(budget->refusals(InputLimit::Requests) == 1);
        CHECK(talk(request).starts_with("HTTP/1.1 200"));
    }
    SECTION("charges nothing for what has ended")
    {
        for (int round = 0; round < 50; ++round)
            CHECK(talk(request).starts_with("HTTP/1.1 200"));
        while (server->openConnections() > 0)
            std::this_thread::yield();
        CHECK(budget->chargedBytes() == 0);
    }
}
