#include "AbsentClaimStore.h"
#include "EntryProcess.h"
#include "EntrySettings.h"
#include "StoreClaims.h"
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

Exit status: 0 after a graceful stop, 1 when requests were cut at the stop limit, 2 for bad settings.
)";

std::unique_ptr<ClaimStore> makeClaimStore(const std::string &url, DispatcherExecutor executor)
{
    if (url.empty())
        return std::make_unique<AbsentClaimStore>(std::move(executor));
    HttpChannelSettings channel;
    channel.address = url;
    return std::make_unique<StoreClaims>(
        std::make_unique<HttpStore>(std::move(channel), std::move(executor)));
}

LogLevel parseLogLevel(const std::string &name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

Result<int> run(const std::string &path, bool checkOnly)
{
    BOOST_LEAF_AUTO(settings, loadEntrySettings(path));
    configureLog(parseLogLevel(settings.logLevel));
    if (checkOnly) {
        std::cout << "settings are valid\n";
        return 0;
    }
    // Blocked before any thread starts, so that only sigwait() receives the signals.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    EntryProcess::Parts parts;
    parts.makeClaims = [url = settings.storeUrl](DispatcherExecutor executor) {
        return makeClaimStore(url, std::move(executor));
    };
    BOOST_LEAF_AUTO(process, EntryProcess::start(settings, std::move(parts)));
    int signal = 0;
    sigwait(&signals, &signal);
    return process->stop() ? 0 : 1;
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
