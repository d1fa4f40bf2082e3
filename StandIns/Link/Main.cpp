#include "Relay.h"

#include <LibBase/Log.h>
#include <StandIns/RunStandIn.h>
#include <asio/signal_set.hpp>
#include <csignal>

using namespace Peridot;

namespace {

constexpr const char *usageText = R"(Relay on loopback that cuts, heals and delays single links.

Usage:
  peridot-standin-link --settings FILE
  peridot-standin-link (-h | --help)

Options:
  --settings FILE  settings (JSON with comments)
  -h --help        this text

POST /control on the control port changes a link; GET /control/links shows all.
)";

Result<int> run(const std::string &settingsPath)
{
    BOOST_LEAF_AUTO(settings, loadLinkSettings(settingsPath));
    asio::io_context context(1);
    Relay relay(context);
    BOOST_LEAF_CHECK(relay.open(settings));
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const asio::error_code &error, int) {
        if (!error)
            context.stop();
    });
    logEvent(LogLevel::Info, "link-started",
             {{"links", static_cast<std::uint64_t>(settings.links.size())},
              {"control_port", int(relay.controlPort())}});
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runStandIn("peridot-standin-link", usageText, argc, argv, run);
}
