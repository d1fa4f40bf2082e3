#pragma once

#include <json/value.h>
#include <platform/ConfigurationReview.h>
#include <string>

namespace Peridot {

/// One line for each finding and difference, then a line with their numbers.
std::string formatReview(const Platform::ConfigurationReview &review);

/// Object with the members "valid", "findings" and "differences".
Json::Value encodeReview(const Platform::ConfigurationReview &review);

} // namespace Peridot
