#pragma once

#include <LibBase/Error.h>
#include <docopt/docopt_value.h>
#include <functional>
#include <map>
#include <string>

namespace Peridot {

using ProgramOptions = std::map<std::string, docopt::value>;

/// Parses the arguments of a process by its docopt \a usage, configures the log and calls \a run.
/// Returns the exit status: that of \a run, 0 after --help, 1 when \a run fails, which is logged as
/// start-failed, and 2 for invalid arguments.
int runProgram(const char *usage, int argc, char **argv,
               const std::function<Result<int>(const ProgramOptions &)> &run);

} // namespace Peridot
