#include <Kernel/Jobs/AdmissionLimits.h>

#include <LibBase/Json.h>

namespace Peridot::Jobs {

namespace {

constexpr unsigned wholePermille = 1000;

} // namespace

std::string encodeAdmissionLimits(const AdmissionLimits &limits)
{
    Json::Value object(Json::objectValue);
    for (const auto &[queue, limit] : limits) {
        Json::Value &entry = object[queue];
        entry["accepted_permille"] = limit.acceptedPermille;
        entry["retry_after_s"] = static_cast<Json::Int64>(limit.retryAfter.count());
    }
    return writeJson(object);
}

Result<AdmissionLimits> parseAdmissionLimits(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    if (!object.isObject())
        return makeError(ErrorCode::ProtocolViolation, "limits");
    AdmissionLimits limits;
    for (const std::string &queue : object.getMemberNames()) {
        const Json::Value &entry = object[queue];
        if (!entry.isObject() || !entry["accepted_permille"].isUInt()
            || entry["accepted_permille"].asUInt() > wholePermille
            || !entry["retry_after_s"].isUInt())
            return makeError(ErrorCode::ProtocolViolation, queue);
        limits[queue] = {entry["accepted_permille"].asUInt(),
                         std::chrono::seconds(entry["retry_after_s"].asUInt())};
    }
    return limits;
}

} // namespace Peridot::Jobs
