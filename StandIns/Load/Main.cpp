#include "Caller.h"
#include "RunCounts.h"
#include <csignal>
#include <iostream>

using namespace Peridot;

namespace {

Result<int> run(int argc, char **argv)
{
    BOOST_LEAF_AUTO(settings, parseLoadSettings(argc, argv));
    LoadLedger ledger(settings);
    LoadRun load;
    load.random = RandomSource(settings.seed);
    load.end = std::chrono::steady_clock::now() + settings.duration;
    for (unsigned index = 0; index < settings.callers; ++index)
        std::make_shared<Caller>(load, settings, ledger)->startNext();
    load.context.run();
    if (!settings.backendControls.empty()) {
        BOOST_LEAF_AUTO(runs, readRunCounts(settings));
        ledger.checkRuns(runs);
    }
    ledger.print();
    return ledger.passed() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return valueOrElse([&] { return run(argc, argv); },
                       [](const Error &error) {
                           std::cerr << "peridot-load: " << describe(error) << '\n';
                           return 2;
                       });
}
