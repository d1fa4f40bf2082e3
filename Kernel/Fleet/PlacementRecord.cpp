#include <Kernel/Fleet/PlacementRecord.h>

#include "RowReader.h"

namespace Peridot {

Result<PlacementRecord> parsePlacementRecord(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    RowReader reader(value);
    PlacementRecord record;
    record.sequence = reader.number("sequence");
    const auto &loans = reader.object("loans");
    RowReader loanReader(loans, "loans");
    for (const auto &task : loans.getMemberNames())
        record.loans.emplace(task, loanReader.text(task.c_str()));
    reader.include(loanReader);
    BOOST_LEAF_CHECK(reader.finish());
    return record;
}

std::string encodePlacementRecord(const PlacementRecord &record)
{
    Json::Value value(Json::objectValue);
    value["sequence"] = Json::Value::UInt64(record.sequence);
    auto &loans = value["loans"] = Json::Value(Json::objectValue);
    for (const auto &[task, host] : record.loans)
        loans[task] = host;
    return writeJson(value);
}

} // namespace Peridot
