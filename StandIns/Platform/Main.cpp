#include "Platform.h"
#include "PlatformServer.h"

#include <LibBase/Log.h>
#include <asio/signal_set.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

using namespace Peridot;

namespace {

constexpr const char *usageText
    = R"(Stand-in for the platform: table service, objects, hosts and workers.

Usage:
  peridot-standin-platform --settings=FILE
  peridot-standin-platform (-h | --help)

SIGTERM stops it with exit status 0.
)";

TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

Result<int> run(const std::string &settingsPath)
{
    BOOST_LEAF_AUTO(settings, loadPlatformSettings(settingsPath));
    asio::io_context context(1);
    Platform platform(settings, currentTime());
    PlatformServer server(context, platform);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    BOOST_LEAF_AUTO(port, server.open(settings.address, settings.port));
    signals.async_wait([&](const asio::error_code &error, int) {
        if (error)
            return;
        server.close();
        context.stop();
    });
    logEvent(LogLevel::Info, "platform-started",
             {{"address", settings.address},
              {"port", static_cast<int>(port)},
              {"workers", static_cast<std::uint64_t>(settings.workers.size())}});
    context.run();
    logEvent(LogLevel::Info, "platform-stopped");
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usageText, {argv + 1, argv + argc}, true);
    configureLog(LogLevel::Info);
    const std::string settingsPath = options["--settings"].asString();
    return valueOrElse([&] { return run(settingsPath); },
                       [](const Error &error) {
                           logEvent(LogLevel::Error, "start-failed", {{"error", describe(error)}});
                           return 1;
                       });
}
