#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace Peridot {

/// Text table with aligned columns. \a rows have as many cells as \a header.
std::string formatTable(const std::vector<std::string> &header,
                        const std::vector<std::vector<std::string>> &rows);

std::string formatStatus(const Json::Value &status);
std::string formatDifference(const Json::Value &difference);
/// One "name: value" line for each member; arrays one line an element.
std::string formatMembers(const Json::Value &object);

} // namespace Peridot
