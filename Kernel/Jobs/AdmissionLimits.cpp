#include <Kernel/Jobs/AdmissionLimits.h>

#include <LibBase/Json.h>

namespace Peridot::Jobs {

namespace {

constexpr unsigned wholePermille = 1000;

bool isPermille(const Json::Value &value)
{
    return value.isUInt() && value.asUInt() <= wholePermille;
}

Json::Value encodeLimit(unsigned acceptedPermille, std::chrono::seconds retryAfter)
{
    Json::Value entry(Json::objectValue);
    entry["accepted_permille"] = acceptedPermille;
    entry["retry_after_s"] = static_cast<Json::Int64>(retryAfter.count());
    return entry;
}

Result<OrganisationLimit> decodeLimit(const Json::Value &entry, const std::string &name)
{
    if (!entry.isObject() || !isPermille(entry["accepted_permille"])
        || !entry["retry_after_s"].isUInt())
        return makeError(ErrorCode::ProtocolViolation, name);
    return OrganisationLimit{entry["accepted_permille"].asUInt(),
                             std::chrono::seconds(entry["retry_after_s"].asUInt())};
}

Result<AdmissionLimit> decodeQueueLimit(const Json::Value &entry, const std::string &queue)
{
    BOOST_LEAF_AUTO(all, decodeLimit(entry, queue));
    AdmissionLimit limit{all.acceptedPermille, all.retryAfter};
    if (entry.isMember("others_permille")) {
        if (!isPermille(entry["others_permille"]))
            return makeError(ErrorCode::ProtocolViolation, queue);
        limit.othersPermille = entry["others_permille"].asUInt();
    }
    if (!entry.isMember("organisations"))
        return limit;
    const Json::Value &organisations = entry["organisations"];
    if (!organisations.isObject())
        return makeError(ErrorCode::ProtocolViolation, queue);
    for (const std::string &name : organisations.getMemberNames()) {
        BOOST_LEAF_AUTO(decoded, decodeLimit(organisations[name], queue));
        limit.organisations[name] = decoded;
    }
    return limit;
}

} // namespace

OrganisationLimit AdmissionLimit::of(const std::string &organisation) const
{
    const auto found = organisations.find(organisation);
    if (found != organisations.end())
        return found->second;
    return {othersPermille.value_or(acceptedPermille), retryAfter};
}

std::string encodeAdmissionLimits(const AdmissionLimits &limits)
{
    Json::Value object(Json::objectValue);
    for (const auto &[queue, limit] : limits) {
        Json::Value &entry = object[queue] = encodeLimit(limit.acceptedPermille, limit.retryAfter);
        if (limit.othersPermille)
            entry["others_permille"] = *limit.othersPermille;
        for (const auto &[name, organisation] : limit.organisations)
            entry["organisations"][name]
                = encodeLimit(organisation.acceptedPermille, organisation.retryAfter);
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
        BOOST_LEAF_AUTO(limit, decodeQueueLimit(object[queue], queue));
        limits[queue] = std::move(limit);
    }
    return limits;
}

} // namespace Peridot::Jobs
