#include <LibHttp/ClientConnection.h>
#include <LibHttp/HttpServer.h>
#include <TestCertificate.h>
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/ssl.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

using namespace Peridot;

namespace {

struct TlsFixture
{
    explicit TlsFixture(std::chrono::milliseconds readTimeout = std::chrono::seconds(30))
    {
        HttpServerSettings settings;
        settings.threads = 2;
        settings.readTimeout = readTimeout;
        settings.tls = TlsSettings{certificate.certificateFile(), certificate.keyFile()};
        HttpServerHooks hooks;
        hooks.onRequest
            = [](const RequestMessage &request, const std::shared_ptr<HttpResponder> &responder) {
                  responder->send({200, {}, request.method + ' ' + request.body});
              };
        server = HttpServer::start(settings, std::move(hooks)).value();
    }

    ~TlsFixture() { server->stop(); }

    asio::ip::tcp::endpoint endpoint() const
    {
        return {asio::ip::make_address("127.0.0.1"), server->port()};
    }

    TestCertificate certificate;
    std::unique_ptr<HttpServer> server;
};

/// Connection of a caller that accepts any certificate.
struct TlsCaller
{
    explicit TlsCaller(const asio::ip::tcp::endpoint &endpoint)
    {
        stream.next_layer().connect(endpoint);
        stream.handshake(asio::ssl::stream_base::client);
    }

    long serialOfServer()
    {
        X509 *certificate = SSL_get1_peer_certificate(stream.native_handle());
        const long serial = ASN1_INTEGER_get(X509_get_serialNumber(certificate));
        X509_free(certificate);
        return serial;
    }

    /// Sends the bytes and returns all that the server sends until it closes the connection.
    std::string talk(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(stream, asio::buffer(bytes), ignored);
        std::string received;
        asio::read(stream, asio::dynamic_buffer(received), ignored);
        return received;
    }

    asio::io_context context;
    asio::ssl::context tls{asio::ssl::context::tls_client};
    asio::ssl::stream<asio::ip::tcp::socket> stream{context, tls};
};

const std::string plainRequest = "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n";

Error errorOf(const std::function<Result<void>()> &function)
{
    return valueOrElse(
        [&]() -> Result<Error> {
            BOOST_LEAF_CHECK(function());
            return Error{ErrorCode::NotFound, "no error", {}};
        },
        [](const Error &error) { return error; });
}

} // namespace

TEST_CASE("A server with a certificate speaks TLS")
{
    TlsFixture fixture;
    SECTION("whole requests reach the handler, also when they span many records")
    {
        const std::string body(1024UL * 1024, 'x');
        const std::string text
            = TlsCaller(fixture.endpoint())
                  .talk("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1048576\r\n\r\n"
                        + body);
        REQUIRE(text.find("HTTP/1.1 200") == 0);
        REQUIRE(text.size() > body.size());
    }
    SECTION("several callers at once are served")
    {
        std::atomic<int> served{0};
        std::vector<std::thread> callers;
        callers.reserve(8);
        for (int index = 0; index < 8; ++index) {
            callers.emplace_back([&] {
                served
                    += TlsCaller(fixture.endpoint()).talk(plainRequest).find("HTTP/1.1 200") == 0;
            });
        }
        for (auto &caller : callers)
            caller.join();
        REQUIRE(served == 8);
    }
    SECTION("refused input gets its typed response encrypted")
    {
        const std::string text
            = TlsCaller(fixture.endpoint()).talk("GET / HTTP/1.1\r\nBad Name: x\r\n\r\n");
        MessageParser parser(MessageParser::Kind::Response);
        parser.feed(text);
        REQUIRE(parser.complete());
        REQUIRE(parser.status() == 400);
        REQUIRE(parser.body.find("malformed-request") == 0);
    }
    SECTION("plain HTTP is turned away and disturbs nobody")
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(fixture.endpoint());
        asio::error_code ignored;
        asio::write(socket, asio::buffer(plainRequest), ignored);
        std::string received;
        asio::read(socket, asio::dynamic_buffer(received), ignored);
        REQUIRE(received.find("HTTP") == std::string::npos);
        REQUIRE(TlsCaller(fixture.endpoint()).talk(plainRequest).find("HTTP/1.1 200") == 0);
    }
}

// Guards against connections that are held open at no cost by callers that never send a handshake.
TEST_CASE("A handshake that does not end in time is closed")
{
    TlsFixture fixture(std::chrono::milliseconds(100));
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(fixture.endpoint());
    std::string received;
    asio::error_code error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    REQUIRE(error);
    REQUIRE(received.empty());
}

TEST_CASE("A certificate is replaced without a restart")
{
    TlsFixture fixture;
    TlsCaller early(fixture.endpoint());
    REQUIRE(early.serialOfServer() == 1);
    SECTION("new connections see the new one, open ones go on")
    {
        fixture.certificate.write(2);
        REQUIRE(fixture.server->reloadCertificate());
        REQUIRE(TlsCaller(fixture.endpoint()).serialOfServer() == 2);
        REQUIRE(early.talk(plainRequest).find("HTTP/1.1 200") == 0);
    }
    SECTION("an unusable one is a typed error and the former stays")
    {
        const auto reload = [&] {
            return fixture.server->reloadCertificate();
        };
        fixture.certificate.writeOtherKey();
        REQUIRE(errorOf(reload).code == ErrorCode::InvalidValue);
        fixture.certificate.writeGarbage();
        REQUIRE(errorOf(reload).code == ErrorCode::FileUnreadable);
        REQUIRE(TlsCaller(fixture.endpoint()).serialOfServer() == 1);
    }
}

TEST_CASE("A server without its certificate files does not start")
{
    HttpServerSettings settings;
    TestCertificate certificate;
    settings.tls = TlsSettings{certificate.certificateFile(), certificate.keyFile()};
    settings.tls->certificateFile = "/nonexistent/certificate.pem";
    const Error error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_CHECK(HttpServer::start(settings, {}));
        return {};
    });
    REQUIRE(error.code == ErrorCode::FileUnreadable);
    REQUIRE(error.field == "/nonexistent/certificate.pem");
}
