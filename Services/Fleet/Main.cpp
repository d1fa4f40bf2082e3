#include "FleetProcess.h"

#include <LibBase/Log.h>
#include <LibBase/RunProgram.h>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

using namespace Peridot;

namespace {

constexpr const char *usageText = R"(Manages configuration, pools, maintenance and placement.

Usage:
  peridot-fleet --settings=FILE [--check-settings]
  peridot-fleet (-h | --help)

Options:
  --settings=FILE   JSON with comments.
  --check-settings  Check the settings and exit.

SIGHUP reads the certificate for operators again.

Exit status: 0 after SIGTERM or SIGINT, or when the settings are valid; 1 when the process cannot
start; 2 for wrong arguments.
)";

void reloadAtSignal(asio::signal_set &signals, FleetProcess &process)
{
    signals.async_wait([&](const asio::error_code &error, int) {
        if (error)
            return;
        process.reloadCertificate();
        reloadAtSignal(signals, process);
    });
}

Result<int> run(const std::string &path, bool checkOnly)
{
    BOOST_LEAF_AUTO(settings, loadFleetSettings(path));
    if (checkOnly) {
        std::cout << "settings=valid\n";
        return 0;
    }
    configureLog(settings.logLevel);
    asio::io_context context;
    asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    asio::signal_set reloadSignals(context, SIGHUP);
    FleetProcess process(settings);
    BOOST_LEAF_CHECK(process.start());
    reloadAtSignal(reloadSignals, process);
    stopSignals.async_wait([&](const asio::error_code &, int) { context.stop(); });
    context.run();
    process.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(usageText, argc, argv, [](const ProgramOptions &options) {
        return run(options.at("--settings").asString(), options.at("--check-settings").asBool());
    });
}
