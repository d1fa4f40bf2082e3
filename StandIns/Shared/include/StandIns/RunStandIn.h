#pragma once

#include <LibBase/Error.h>
#include <functional>
#include <string>

namespace Peridot {

/// main() of a stand-in with the one option --settings. Returns the exit status of \a run, or 2
/// after it printed an error.
int runStandIn(const std::string &name, const std::string &usage, int argc, char **argv,
               const std::function<Result<int>(const std::string &settingsPath)> &run);

} // namespace Peridot
