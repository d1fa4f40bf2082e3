#include <Kernel/Jobs/OfferedReport.h>

#include <LibBase/Json.h>

namespace Peridot::Jobs {

namespace {

Result<OfferedCount> decodeCount(const Json::Value &entry, const std::string &name)
{
    if (!entry.isObject() || !entry["offered"].isUInt64() || !entry["refused"].isUInt64())
        return makeError(ErrorCode::ProtocolViolation, name);
    const OfferedCount count{entry["offered"].asUInt64(), entry["refused"].asUInt64()};
    if (count.refused > count.offered)
        return makeError(ErrorCode::ProtocolViolation, name);
    return count;
}

} // namespace

std::string offeredKey(std::string_view host)
{
    return std::string(offeredPrefix) + std::string(host);
}

std::string encodeOfferedReport(const OfferedReport &report)
{
    Json::Value object(Json::objectValue);
    object["instance"] = report.instance;
    object["at_ms"] = static_cast<Json::Int64>(report.milliseconds);
    object["queues"] = Json::Value(Json::objectValue);
    for (const auto &[queue, organisations] : report.counts) {
        for (const auto &[organisation, count] : organisations) {
            Json::Value &entry = object["queues"][queue][organisation];
            entry["offered"] = static_cast<Json::UInt64>(count.offered);
            entry["refused"] = static_cast<Json::UInt64>(count.refused);
        }
    }
    return writeJson(object);
}

Result<OfferedReport> parseOfferedReport(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    if (!object.isObject() || !object["instance"].isString() || !object["at_ms"].isInt64()
        || !object["queues"].isObject())
        return makeError(ErrorCode::ProtocolViolation, "offered");
    OfferedReport report;
    report.instance = object["instance"].asString();
    report.milliseconds = object["at_ms"].asInt64();
    const Json::Value &queues = object["queues"];
    for (const std::string &queue : queues.getMemberNames()) {
        if (!queues[queue].isObject())
            return makeError(ErrorCode::ProtocolViolation, queue);
        for (const std::string &organisation : queues[queue].getMemberNames()) {
            BOOST_LEAF_AUTO(count, decodeCount(queues[queue][organisation], queue));
            report.counts[queue][organisation] = count;
        }
    }
    return report;
}

} // namespace Peridot::Jobs
