#include "MessageJson.h"

#include <Kernel/Request/ClaimRecord.h>
#include <Kernel/Request/ClaimSweep.h>
#include <Kernel/Request/RequestIdentifier.h>
#include <LibBase/Json.h>
#include <boost/algorithm/hex.hpp>
#include <boost/locale/encoding_utf.hpp>
#include <iterator>

namespace Peridot {

namespace {

// JSON text must be UTF-8, but a body may contain any bytes. Other bodies are stored as hexadecimal
// digits.
bool isUtf8(const std::string &text)
{
    try {
        boost::locale::conv::utf_to_utf<char32_t>(text, boost::locale::conv::stop);
        return true;
    } catch (const boost::locale::conv::conversion_error &) {
        return false;
    }
}

Json::Value encodeAnswer(const RecordedAnswer &answer)
{
    Json::Value object(Json::objectValue);
    object["status"] = answer.status;
    object["content_type"] = answer.contentType;
    object["digest"] = answer.digest;
    object["body_recorded"] = answer.bodyRecorded;
    if (!answer.bodyRecorded)
        return object;
    if (isUtf8(answer.body)) {
        object["body"] = answer.body;
        return object;
    }
    std::string digits;
    boost::algorithm::hex_lower(answer.body.begin(), answer.body.end(), std::back_inserter(digits));
    object["body_hex"] = digits;
    return object;
}

Result<std::string> readText(const Json::Value &object, const char *name)
{
    if (!object[name].isString())
        return makeError(ErrorCode::ProtocolViolation, name);
    return object[name].asString();
}

Result<std::string> readBody(const Json::Value &object)
{
    if (!object.isMember("body_hex"))
        return readText(object, "body");
    BOOST_LEAF_AUTO(digits, readText(object, "body_hex"));
    std::string body;
    try {
        boost::algorithm::unhex(digits.begin(), digits.end(), std::back_inserter(body));
    } catch (const boost::algorithm::hex_decode_error &) {
        return makeError(ErrorCode::ProtocolViolation, "body_hex");
    }
    return body;
}

Result<std::shared_ptr<const RecordedAnswer>> decodeAnswer(const Json::Value &object)
{
    if (!object.isObject() || !object["status"].isInt() || !object["body_recorded"].isBool())
        return makeError(ErrorCode::ProtocolViolation, "answer");
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = object["status"].asInt();
    answer->bodyRecorded = object["body_recorded"].asBool();
    BOOST_LEAF_ASSIGN(answer->contentType, readText(object, "content_type"));
    BOOST_LEAF_ASSIGN(answer->digest, readText(object, "digest"));
    if (answer->bodyRecorded) {
        BOOST_LEAF_ASSIGN(answer->body, readBody(object));
    }
    return std::shared_ptr<const RecordedAnswer>(std::move(answer));
}

} // namespace

std::string encodeClaimRecord(const ClaimRecord &record)
{
    Json::Value object(Json::objectValue);
    object["state"] = std::string(claimStateNames.nameOf(record.state));
    object["holder"] = record.holder;
    object["operation"] = record.operation;
    object["fingerprint"] = record.fingerprint;
    object["attempt"] = Json::UInt64(record.callerAttempt);
    object["time_ms"] = Json::Int64(toUnixMilliseconds(record.time));
    object["reason"] = std::string(refusalReasonNames.nameOf(record.reason));
    if (record.answer)
        object["answer"] = encodeAnswer(*record.answer);
    return writeJson(object);
}

Result<ClaimRecord> decodeClaimRecord(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseMessage(text));
    if (!object.isObject())
        return makeError(ErrorCode::ProtocolViolation, "record");
    BOOST_LEAF_AUTO(stateName, readText(object, "state"));
    BOOST_LEAF_AUTO(reasonName, readText(object, "reason"));
    const auto state = claimStateNames.valueOf(stateName);
    const auto reason = refusalReasonNames.valueOf(reasonName);
    if (!state)
        return makeError(ErrorCode::ProtocolViolation, "state");
    if (!reason)
        return makeError(ErrorCode::ProtocolViolation, "reason");
    ClaimRecord record;
    record.state = *state;
    record.reason = *reason;
    BOOST_LEAF_ASSIGN(record.holder, readText(object, "holder"));
    BOOST_LEAF_ASSIGN(record.operation, readText(object, "operation"));
    BOOST_LEAF_ASSIGN(record.fingerprint, readText(object, "fingerprint"));
    // Rows written by earlier versions have no attempt number.
    if (object.isMember("attempt") && !object["attempt"].isUInt64())
        return makeError(ErrorCode::ProtocolViolation, "attempt");
    record.callerAttempt = object["attempt"].asUInt64();
    if (!object["time_ms"].isInt64())
        return makeError(ErrorCode::ProtocolViolation, "time_ms");
    record.time = fromUnixMilliseconds(object["time_ms"].asInt64());
    if (record.state == ClaimState::Done) {
        BOOST_LEAF_ASSIGN(record.answer, decodeAnswer(object["answer"]));
    }
    return record;
}

std::string claimKey(const std::string &service, const std::string &requestId)
{
    return std::string(claimPrefix) + service + '/' + canonicalRequestId(requestId);
}

} // namespace Peridot
