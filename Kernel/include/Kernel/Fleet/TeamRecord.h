#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <map>

namespace Peridot {

/// Row team/<name>: resources held by the jobs of a team, in declared sizes. It is written in the
/// transaction that places or ends their tasks, so that processes that plan different pools cannot
/// exceed the quota together.
struct TeamRecord
{
    std::string name;
    std::map<std::string, Resources> held; ///< by job
};

/// Errors: InvalidJson, MissingField, InvalidValue; the field is the path inside the row.
Result<TeamRecord> parseTeamRecord(std::string_view text);
std::string encodeTeamRecord(const TeamRecord &record);

} // namespace Peridot
