#include "BackendServer.h"
#include <LibBase/Log.h>
#include <StandIns/RunStandIn.h>
#include <csignal>

using namespace Peridot;

namespace {

constexpr const char *usageText = R"(Backend server stand-in for tests and the demo.

Usage:
  peridot-standin-backend --settings FILE
  peridot-standin-backend (-h | --help)

Options:
  --settings FILE  settings (JSON with comments)
  -h --help        this text

Faults come from the request header Peridot-Fault or from POST /control on the control port.
)";

Result<int> run(const std::string &settingsPath)
{
    BOOST_LEAF_AUTO(settings, loadBackendSettings(settingsPath));
    // Blocked before any thread starts, so that only sigwait() receives the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    BOOST_LEAF_AUTO(server, BackendServer::start(settings));
    logEvent(LogLevel::Info, "backend-listening",
             {{"server", settings.name},
              {"port", int(server->port())},
              {"control_port", int(server->controlPort())}});
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runStandIn("peridot-standin-backend", usageText, argc, argv, run);
}
