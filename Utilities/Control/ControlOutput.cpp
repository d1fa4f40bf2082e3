#include "ControlOutput.h"

#include <LibBase/Json.h>
#include <algorithm>
#include <cstdio>

namespace Peridot {

namespace {

std::string plain(const Json::Value &value)
{
    if (value.isString())
        return value.asString();
    if (value.isDouble() && !value.isIntegral()) {
        char buffer[32];
        std::snprintf(buffer, sizeof buffer, "%.1f", value.asDouble());
        return buffer;
    }
    return value.isNull() ? std::string() : writeJson(value);
}

} // namespace

std::string formatTable(const std::vector<std::string> &header,
                        const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    widths.reserve(header.size());
    for (const auto &cell : header)
        widths.push_back(cell.size());
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    const auto append = [&](const std::vector<std::string> &row) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            text += row[column];
            if (column + 1 < row.size())
                text += std::string(widths[column] - row[column].size() + 2, ' ');
        }
        text += '\n';
    };
    append(header);
    for (const auto &row : rows)
        append(row);
    return text;
}

std::string formatStatus(const Json::Value &status)
{
    std::string text;
    for (const auto *name : {"instance", "serving", "version_in_force", "head_version",
                             "head_state", "view_epoch", "view_settled"})
        text += std::string(name) + ": " + plain(status[name]) + '\n';
    text += "members: " + std::to_string(status["view"].size()) + "\n\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto &pool : status["pools"])
        rows.push_back({plain(pool["name"]), plain(pool["hosts"]),
                        plain(pool["unavailable"]) + "/" + plain(pool["budget"]),
                        plain(pool["idle_processors"]), plain(pool["wave"]),
                        plain(pool["wave_seconds"])});
    return text
           + formatTable({"POOL", "HOSTS", "UNAVAILABLE", "IDLE CORES", "WAVE", "WAVE SECONDS"},
                         rows);
}

std::string formatDifference(const Json::Value &difference)
{
    if (difference["changes"].empty())
        return "no changes against version " + plain(difference["version"]) + '\n';
    std::vector<std::vector<std::string>> rows;
    for (const auto &change : difference["changes"])
        rows.push_back({plain(change["kind"]), plain(change["path"]), plain(change["before"]),
                        plain(change["after"])});
    return formatTable({"CHANGE", "PATH", "BEFORE", "AFTER"}, rows);
}

std::string formatMembers(const Json::Value &object)
{
    std::string text;
    for (const auto &name : object.getMemberNames()) {
        const Json::Value &value = object[name];
        if (!value.isArray()) {
            text += name + ": " + plain(value) + '\n';
            continue;
        }
        text += name + ":\n";
        for (const auto &element : value)
            text += "  " + plain(element) + '\n';
    }
    return text;
}

} // namespace Peridot
