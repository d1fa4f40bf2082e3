#include <Kernel/Jobs/LeadershipRows.h>

#include <LibBase/Json.h>

namespace Peridot::Jobs {

std::string candidateKey(std::string_view host)
{
    return std::string(candidatePrefix) + std::string(host);
}

std::string encodeCandidate(const SchedulerCandidate &candidate)
{
    Json::Value object(Json::objectValue);
    object["instance"] = candidate.instance;
    object["processors"] = candidate.processors;
    object["started_ms"] = static_cast<Json::Int64>(toUnixMilliseconds(candidate.startedAt));
    object["stopping"] = candidate.stopping;
    if (!candidate.relayAddress.empty())
        object["relay"] = candidate.relayAddress;
    return writeJson(object);
}

Result<SchedulerCandidate> parseCandidate(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    if (!object.isObject() || !object["instance"].isString() || !object["processors"].isNumeric()
        || !object["started_ms"].isInt64() || !object["stopping"].isBool())
        return makeError(ErrorCode::ProtocolViolation, "candidate");
    SchedulerCandidate candidate;
    candidate.instance = object["instance"].asString();
    candidate.processors = object["processors"].asDouble();
    candidate.startedAt = fromUnixMilliseconds(object["started_ms"].asInt64());
    candidate.stopping = object["stopping"].asBool();
    if (object["relay"].isString())
        candidate.relayAddress = object["relay"].asString();
    return candidate;
}

std::string encodeTransfer(const LeadershipTransferRow &transfer)
{
    Json::Value object(Json::objectValue);
    object["from"] = transfer.from;
    object["to"] = transfer.to;
    object["phase"] = std::string(transferPhaseNames.nameOf(transfer.phase));
    return writeJson(object);
}

Result<LeadershipTransferRow> parseTransfer(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    if (!object.isObject() || !object["from"].isString() || !object["to"].isString()
        || !object["phase"].isString())
        return makeError(ErrorCode::ProtocolViolation, "transfer");
    const auto phase = transferPhaseNames.valueOf(object["phase"].asString());
    if (!phase)
        return makeError(ErrorCode::ProtocolViolation, "phase");
    return LeadershipTransferRow{object["from"].asString(), object["to"].asString(), *phase};
}

} // namespace Peridot::Jobs
