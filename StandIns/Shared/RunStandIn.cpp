#include <StandIns/RunStandIn.h>

#include <LibBase/Log.h>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

namespace Peridot {

int runStandIn(const std::string &name, const std::string &usage, int argc, char **argv,
               const std::function<Result<int>(const std::string &settingsPath)> &run)
{
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    configureLog(LogLevel::Info);
    std::signal(SIGPIPE, SIG_IGN);
    return valueOrElse([&] { return run(options["--settings"].asString()); },
                       [&](const Error &error) {
                           std::cerr << name << ": " << describe(error) << '\n';
                           return 2;
                       });
}

} // namespace Peridot
