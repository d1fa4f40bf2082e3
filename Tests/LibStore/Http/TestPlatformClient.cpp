#include "CallbackLoop.h"
#include "RunningPlatform.h"
#include "ScriptedServer.h"

#include <LibStore/PlatformClient.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

PlatformSettings oneWorker()
{
    PlatformSettings settings;
    settings.hostListLag = 0ms;
    settings.workers = {{"rack a/worker 1", "rack-1", "dc-1", {32, 128, 2}}};
    return settings;
}

std::shared_ptr<HttpChannel> channelTo(const std::string &address, CallbackLoop &loop)
{
    HttpChannelSettings settings;
    settings.address = address;
    settings.requestTimeout = 20s;
    return std::make_shared<HttpChannel>(settings, loop.executor());
}

std::string codeOf(const std::optional<Error> &error)
{
    return error ? std::string(errorCodeNames.nameOf(error->code)) : "none";
}

} // namespace

TEST_CASE("PlatformClient talks to hosts and workers")
{
    CallbackLoop loop;
    RunningPlatform platform(oneWorker());
    PlatformClient client(channelTo(platform.address(), loop));
    const std::string host = "rack a/worker 1";
    const auto report = [&](const std::string &name) {
        return loop.wait<PlatformReply<HostReport>>(
            [&](auto callback) { client.report(name, callback); });
    };
    const auto listHosts = [&] {
        return loop.wait<PlatformReply<HostList>>(
            [&](auto callback) { client.listHosts(callback); });
    };
    WorkerCommand command;
    command.host = host;
    command.task = "job/0";
    command.epoch = 7;
    command.limit = {4, 8, 1};
    command.leaseEnd = RunningPlatform::currentTime() + 1h;
    const auto send = [&] {
        return loop.wait<PlatformReply<CommandReply>>(
            [&](auto callback) { client.command(command, callback); });
    };
    SECTION("a started task is reported with its epoch and usage")
    {
        REQUIRE(send().value.accepted);
        platform.skip(10min);
        const auto reply = report(host);
        REQUIRE(codeOf(reply.error) == "none");
        REQUIRE(reply.value.tasks.size() == 1);
        REQUIRE(reply.value.tasks[0].epoch == 7);
        REQUIRE(reply.value.tasks[0].usage.memoryGigabytes == Approx(4.8));
        REQUIRE(reply.value.tasks[0].usage.accelerators == 1);
    }
    SECTION("an ignored command says so")
    {
        REQUIRE(send().value.accepted);
        command.epoch = 6;
        const auto reply = send();
        REQUIRE(codeOf(reply.error) == "none");
        REQUIRE_FALSE(reply.value.accepted);
        REQUIRE(reply.value.reason == "old-epoch");
    }
    SECTION("the list names the hosts without their tasks")
    {
        REQUIRE(send().value.accepted);
        const auto reply = listHosts();
        REQUIRE(reply.value.hosts.size() == 1);
        REQUIRE(reply.value.hosts[0].host == host);
        REQUIRE(reply.value.hosts[0].tasks.empty());
    }
    SECTION("objects are kept byte for byte")
    {
        const std::string value("\0\xff{\"x\"}", 7);
        const auto put = loop.wait<PlatformReply<PlatformClient::Nothing>>(
            [&](auto callback) { client.putObject("manifest/1 %", value, callback); });
        REQUIRE(codeOf(put.error) == "none");
        const auto get = loop.wait<PlatformReply<std::string>>(
            [&](auto callback) { client.getObject("manifest/1 %", callback); });
        REQUIRE(get.value == value);
    }
    SECTION("each failure has its own code")
    {
        REQUIRE(codeOf(report("absent").error) == "not-found");
        platform.call([&](Platform &state) { state.fleet().find(host)->fail(); });
        REQUIRE(codeOf(report(host).error) == "connection-failed");
        const auto failHosts = [&](StoreFaultKind kind) {
            platform.call([&](Platform &state) {
                state.faults().add({Endpoint::Hosts, {kind}, 1});
            });
            return codeOf(listHosts().error);
        };
        REQUIRE(failHosts(StoreFaultKind::Refuse) == "store-unavailable");
        REQUIRE(failHosts(StoreFaultKind::LoseAnswerBeforeEffect) == "timeout");
    }
    SECTION("an answer that breaks the protocol is an error, not an empty list")
    {
        const ScriptedServer server(
            [](unsigned) { return ScriptedServer::answer("200 OK", R"({"hosts":[]})"); });
        PlatformClient misled(channelTo(server.address(), loop));
        const auto reply = loop.wait<PlatformReply<HostList>>(
            [&](auto callback) { misled.listHosts(callback); });
        REQUIRE(codeOf(reply.error) == "protocol-violation");
    }
}
