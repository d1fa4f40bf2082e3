#include "EntryMembership.h"
#include "EntryProcess.h"
#include "EntrySettings.h"
#include "GroupedClaimStore.h"
#include "UnavailableClaimStore.h"
#include <LibBase/Log.h>
#include <LibStore/HttpStore.h>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <pthread.h>

using namespace Peridot;

namespace {

constexpr const char *usageText
    = R"(Entry process of peridotrun: accepts requests of callers and runs them on
backend servers.

Usage:
  peridot-entry --settings FILE [--check-settings]
  peridot-entry (-h | --help)

Options:
  --settings FILE   settings (JSON with comments)
  --check-settings  check the settings and exit
  -h --help         this text

SIGHUP reads the certificates again. SIGTERM and SIGINT stop the process after the requests in flight.

Exit status: 0 after a graceful stop, 1 when requests were cut at the stop limit, 2 for bad settings.
)";

std::unique_ptr<ClaimStore> makeClaimStore(const std::string &url, const std::string &instance,
                                           DispatcherExecutor executor,
                                           const StorePacerSettings &limits)
{
    if (url.empty())
        return std::make_unique<UnavailableClaimStore>(std::move(executor));
    HttpChannelSettings channel;
    channel.address = url;
    channel.instance = instance;
    auto store = std::make_unique<HttpStore>(std::move(channel), executor);
    return std::make_unique<GroupedClaimStore>(instance, std::move(store), std::move(executor),
                                               limits);
}

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

Result<int> run(const std::string &path, bool checkOnly)
{
    BOOST_LEAF_AUTO(settings, loadEntrySettings(path));
    configureLog(logLevelNames.valueOf(settings.logLevel).value_or(LogLevel::Info));
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return 0;
    }
    // Blocked before any thread starts, so that only sigwait() receives the signals.
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    EntryProcess::Dependencies dependencies;
    dependencies.makeClaims
        = [&settings](const std::string &instance, DispatcherExecutor executor) {
              return makeClaimStore(settings.storeUrl, instance, std::move(executor),
                                    storeLimits(settings));
          };
    std::unique_ptr<EntryMembership> control;
    if (settings.membership) {
        control = std::make_unique<EntryMembership>(settings);
        control->provide(dependencies);
    }
    BOOST_LEAF_AUTO(process, EntryProcess::start(settings, std::move(dependencies)));
    if (control)
        BOOST_LEAF_CHECK(control->start(*process));
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP)
        process->reloadCertificates();
    const bool allEnded = process->stop();
    if (control)
        control->stop();
    return allEnded ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usageText, {argv + 1, argv + argc}, true);
    std::signal(SIGPIPE, SIG_IGN);
    return valueOrElse(
        [&] { return run(options["--settings"].asString(), options["--check-settings"].asBool()); },
        [](const Error &error) {
            std::cerr << "peridot-entry: " << describe(error) << '\n';
            return 2;
        });
}
