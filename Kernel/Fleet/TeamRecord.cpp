#include <Kernel/Fleet/TeamRecord.h>

#include "RowReader.h"

namespace Peridot {

Result<TeamRecord> parseTeamRecord(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    RowReader reader(value);
    TeamRecord record;
    record.name = reader.text("name");
    const auto &held = reader.object("held");
    RowReader heldReader(held, "held");
    for (const auto &job : held.getMemberNames())
        record.held.emplace(job, heldReader.resources(job.c_str()));
    reader.include(heldReader);
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

std::string encodeTeamRecord(const TeamRecord &record)
{
    Json::Value value(Json::objectValue);
    value["name"] = record.name;
    auto &held = value["held"] = Json::Value(Json::objectValue);
    for (const auto &[job, resources] : record.held)
        held[job] = encodeResources(resources);
    return writeJson(value);
}

} // namespace Peridot
