#pragma once

#include <LibBase/PluginRegistry.h>
#include <string>
#include <vector>

namespace Peridot {

/// One `measure NAME` table. It prints key=value lines on the standard output.
class Measurement
{
public:
    virtual ~Measurement() = default;
    /// Returns the exit status: 0 when it ran to its end, whatever the figures are.
    virtual int run(const std::vector<std::string> &arguments) = 0;
};

using MeasurementRegistry = PluginRegistry<Measurement>;

} // namespace Peridot
