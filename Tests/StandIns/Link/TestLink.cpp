#include <Relay.h>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace Peridot;
using namespace std::chrono_literals;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

const auto loopback = asio::ip::make_address("127.0.0.1");

/// A relay on a thread of its own with one link of each kind; the sockets of the test block.
class RelayFixture
{
public:
    RelayFixture()
        : server(io, {loopback, 0}), receiver(io, {loopback, 0}), sender(io, {loopback, 0})
    {
        LinkSettings settings;
        settings.address = "127.0.0.1";
        settings.links = {{"store", LinkProtocol::Tcp, 0, server.local_endpoint().port()},
                          {"peer", LinkProtocol::Udp, 0, receiver.local_endpoint().port()}};
        relay.open(settings).value();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~RelayFixture()
    {
        m_context.stop();
        m_thread.join();
    }

    void control(const std::string &body) { applyLinkControl(relay.states(), body).value(); }

    tcp::socket connect()
    {
        tcp::socket client(io);
        client.connect({loopback, relay.port("store")});
        return client;
    }

    void sendDatagram(udp::socket &from, const std::string &text)
    {
        from.send_to(asio::buffer(text), {loopback, relay.port("peer")});
    }

    std::string receiveDatagram()
    {
        std::string text(100, ' ');
        text.resize(receiver.receive(asio::buffer(text)));
        return text;
    }

    void waitForDropped(const std::string &link, std::uint64_t bytes) const
    {
        while (relay.states().at(link)->describe()["dropped_bytes"].asUInt64() < bytes)
            std::this_thread::sleep_for(1ms);
    }

private:
    asio::io_context m_context{1};
    std::thread m_thread;

public:
    asio::io_context io;
    tcp::acceptor server;
    udp::socket receiver;
    udp::socket sender;
    Relay relay{m_context};
};

std::string readText(tcp::socket &socket, std::size_t size)
{
    std::string text(size, ' ');
    asio::read(socket, asio::buffer(text));
    return text;
}

struct LinkSettingsCase
{
    const char *name;
    const char *text;
    ErrorCode code;
};

} // namespace

TEST_CASE("A datagram link forwards, and drops what is cut")
{
    RelayFixture fixture;
    udp::socket other(fixture.io, {loopback, 0});
    fixture.sendDatagram(fixture.sender, "first");
    REQUIRE(fixture.receiveDatagram() == "first");

    SECTION("for every sender until it is healed")
    {
        fixture.control(R"({"link": "peer", "action": "cut"})");
        fixture.sendDatagram(fixture.sender, "lost");
        fixture.waitForDropped("peer", 4);
        fixture.control(R"({"link": "peer", "action": "heal"})");
        fixture.sendDatagram(fixture.sender, "after");
        REQUIRE(fixture.receiveDatagram() == "after");
    }
    SECTION("for one sender only")
    {
        const auto port = std::to_string(fixture.sender.local_endpoint().port());
        fixture.control(R"({"link": "peer", "action": "cut", "from": "127.0.0.1:)" + port + "\"}");
        fixture.sendDatagram(fixture.sender, "lost");
        fixture.waitForDropped("peer", 4);
        fixture.sendDatagram(other, "other");
        REQUIRE(fixture.receiveDatagram() == "other");
    }
    SECTION("and a delayed one arrives whole")
    {
        fixture.control(R"({"link": "peer", "action": "delay", "delay_ms": 20})");
        fixture.sendDatagram(fixture.sender, "delayed");
        REQUIRE(fixture.receiveDatagram() == "delayed");
    }
}

TEST_CASE("A connection link forwards both ways, and a cut drops bytes without a reset")
{
    RelayFixture fixture;
    tcp::socket client = fixture.connect();
    tcp::socket accepted = fixture.server.accept();
    asio::write(client, asio::buffer(std::string("request")));
    REQUIRE(readText(accepted, 7) == "request");
    asio::write(accepted, asio::buffer(std::string("answer")));
    REQUIRE(readText(client, 6) == "answer");

    SECTION("the end of the stream is forwarded")
    {
        client.close();
        asio::error_code error;
        char byte = 0;
        accepted.read_some(asio::buffer(&byte, 1), error);
        REQUIRE(error == asio::error::eof);
    }
    SECTION("a cut is silent, also after it is healed, and a new connection works then")
    {
        fixture.control(R"({"link": "store", "action": "cut"})");
        asio::write(client, asio::buffer(std::string("lost")));
        fixture.waitForDropped("store", 4);
        tcp::socket during = fixture.connect();
        asio::write(during, asio::buffer(std::string("lost")));
        fixture.waitForDropped("store", 8);
        fixture.control(R"({"link": "store", "action": "heal"})");
        // The rest of a stream with a gap would be misread by the receiver.
        asio::write(client, asio::buffer(std::string("rest")));
        fixture.waitForDropped("store", 12);

        tcp::socket after = fixture.connect();
        tcp::socket acceptedAfter = fixture.server.accept();
        asio::write(after, asio::buffer(std::string("request")));
        REQUIRE(readText(acceptedAfter, 7) == "request");
        for (tcp::socket *silent : {&client, &accepted, &during}) {
            asio::error_code error;
            char byte = 0;
            silent->non_blocking(true);
            silent->read_some(asio::buffer(&byte, 1), error);
            REQUIRE(error == asio::error::would_block);
        }
    }
}

TEST_CASE("Settings and control calls of the link stand-in are checked")
{
    const std::string path = "link-settings-" + std::to_string(getpid()) + ".json";
    const auto entry = GENERATE(
        LinkSettingsCase{"no links", R"({"address": "127.0.0.1", "control_port": 0, "links": []})",
                         ErrorCode::SchemaViolation},
        LinkSettingsCase{"not a loopback address", R"({"address": "10.0.0.1", "control_port": 0,
            "links": [{"name": "a", "protocol": "tcp", "port": 0, "target_port": 1}]})",
                         ErrorCode::InvalidValue},
        LinkSettingsCase{"no address", R"({"address": "nowhere", "control_port": 0,
            "links": [{"name": "a", "protocol": "tcp", "port": 0, "target_port": 1}]})",
                         ErrorCode::InvalidValue},
        LinkSettingsCase{"two links of one name", R"({"address": "127.0.0.1", "control_port": 0,
            "links": [{"name": "a", "protocol": "tcp", "port": 0, "target_port": 1},
                      {"name": "a", "protocol": "udp", "port": 0, "target_port": 1}]})",
                         ErrorCode::DuplicateName},
        LinkSettingsCase{"another protocol", R"({"address": "127.0.0.1", "control_port": 0,
            "links": [{"name": "a", "protocol": "sctp", "port": 0, "target_port": 1}]})",
                         ErrorCode::SchemaViolation});
    DYNAMIC_SECTION(entry.name)
    {
        std::ofstream(path) << entry.text;
        const auto code = valueOrElse(
            [&]() -> Result<ErrorCode> {
                BOOST_LEAF_CHECK(loadLinkSettings(path));
                return ErrorCode::Stopping;
            },
            [](const Error &error) { return error.code; });
        std::remove(path.c_str());
        REQUIRE(errorCodeNames.nameOf(code) == errorCodeNames.nameOf(entry.code));
    }
}

TEST_CASE("A control call that names nothing is refused")
{
    const LinkStates states{{"a", std::make_shared<LinkState>()}};
    const auto errorOf = [&](const std::string &body) {
        return valueOrElse(
            [&]() -> Result<ErrorCode> {
                BOOST_LEAF_CHECK(applyLinkControl(states, body));
                return ErrorCode::Stopping;
            },
            [](const Error &error) { return error.code; });
    };
    REQUIRE(errorOf(R"({"link": "a", "action": "cut"})") == ErrorCode::Stopping);
    REQUIRE(errorOf(R"({"link": "b", "action": "cut"})") == ErrorCode::NotFound);
    REQUIRE(errorOf(R"({"link": "a", "action": "reset"})") == ErrorCode::SchemaViolation);
    REQUIRE(errorOf(R"({"link": "a", "action": "delay"})") == ErrorCode::MissingField);
    REQUIRE(errorOf("{") == ErrorCode::InvalidJson);
}
