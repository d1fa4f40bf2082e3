#include "Measurement.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace Peridot;

namespace {

constexpr const char *usageText = R"(Prints measurements of peridotrun as key=value lines.

Usage:
  peridot-measure list
  peridot-measure NAME [ARGUMENT...]
  peridot-measure (-h | --help)

Exit status: 0 when the measurement ran, 2 for an unknown name.
)";

int listMeasurements()
{
    for (const auto &name : MeasurementRegistry::names())
        std::cout << name << '\n';
    return 0;
}

int runMeasurement(const std::string &name, const std::vector<std::string> &arguments)
{
    return valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(measurement, MeasurementRegistry::create(name));
            return measurement->run(arguments);
        },
        [](const Error &error) {
            std::cerr << "peridot-measure: " << describe(error) << '\n';
            return 2;
        });
}

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usageText, {argv + 1, argv + argc}, true);
    if (options["list"].asBool())
        return listMeasurements();
    return runMeasurement(options["NAME"].asString(), options["ARGUMENT"].asStringList());
}
