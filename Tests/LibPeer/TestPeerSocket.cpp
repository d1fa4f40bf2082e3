#include <LibPeer/PeerSocket.h>
#include <catch2/catch.hpp>

using namespace Peridot;

namespace {

struct Receiver
{
    explicit Receiver(asio::io_context &context, std::size_t limit = 60000)
        : socket(context, {"127.0.0.1:0", "key", limit}, [this](const std::string &message) {
              messages.push_back(message);
              return message != "malformed";
          })
    {
        socket.open().value();
    }

    std::vector<std::string> messages;
    PeerSocket socket;
};

void runUntilReceived(asio::io_context &context, const Receiver &receiver, std::uint64_t count)
{
    while (receiver.socket.counters().received < count)
        context.run_one();
}

} // namespace

TEST_CASE("Only well-formed datagrams of members are passed on")
{
    asio::io_context context;
    Receiver receiver(context);
    const std::string address = receiver.socket.localAddress();
    Receiver sender(context);

    SECTION("a message of a member arrives whole")
    {
        sender.socket.send(address, R"({"kind":"x"})");
        runUntilReceived(context, receiver, 1);
        REQUIRE(receiver.messages == std::vector<std::string>{R"({"kind":"x"})"});
    }
    SECTION("a datagram under another key is dropped, so that a stranger cannot change the members")
    {
        PeerSocket unauthenticated(context, {"127.0.0.1:0", "other", 60000},
                                   [](auto &) { return true; });
        unauthenticated.open().value();
        unauthenticated.send(address, "{}");
        runUntilReceived(context, receiver, 1);
        REQUIRE(receiver.messages.empty());
        REQUIRE(receiver.socket.counters().unauthenticated == 1);
    }
    SECTION("a datagram shorter than the authentication code is dropped")
    {
        asio::ip::udp::socket raw(context, asio::ip::udp::v4());
        raw.send_to(asio::buffer(std::string("short")), parsePeerAddress(address).value());
        runUntilReceived(context, receiver, 1);
        REQUIRE(receiver.socket.counters().unauthenticated == 1);
    }
    SECTION("a message that the handler refuses is counted")
    {
        sender.socket.send(address, "malformed");
        runUntilReceived(context, receiver, 1);
        REQUIRE(receiver.socket.counters().malformed == 1);
    }
    SECTION("a message above the limit is not sent and not cut")
    {
        sender.socket.send(address, std::string(60001, 'x'));
        REQUIRE(sender.socket.counters().oversized == 1);
        Receiver small(context, 100);
        sender.socket.send(small.socket.localAddress(), std::string(200, 'x'));
        runUntilReceived(context, small, 1);
        REQUIRE(small.socket.counters().oversized == 1);
        REQUIRE(small.messages.empty());
    }
    SECTION("an address that is not ip:port is a counted failure")
    {
        for (const auto *text : {"", "host", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000"})
            sender.socket.send(text, "{}");
        REQUIRE(sender.socket.counters().sendFailures == 5);
    }
}
