#include <LibBase/RunProgram.h>

#include <LibBase/Log.h>
#include <docopt/docopt.h>
#include <iostream>

namespace Peridot {

int runProgram(const char *usage, int argc, char **argv,
               const std::function<Result<int>(const ProgramOptions &)> &run)
{
    ProgramOptions options;
    try {
        options = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const std::exception &) {
        std::cerr << usage;
        return 2;
    }
    configureLog(LogLevel::Info);
    return valueOrElse([&] { return run(options); },
                       [](const Error &error) {
                           logEvent(LogLevel::Error, "start-failed", {{"error", describe(error)}});
                           return 1;
                       });
}

} // namespace Peridot
