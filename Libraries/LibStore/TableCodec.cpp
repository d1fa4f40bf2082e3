#include <LibStore/TableCodec.h>

#include "JsonFields.h"
#include <LibBase/Json.h>

namespace Peridot {

namespace {

Result<std::vector<std::string>> stringsMember(const Json::Value &object, const char *name)
{
    BOOST_LEAF_AUTO(array, arrayMember(object, name));
    std::vector<std::string> strings;
    for (const auto &entry : array) {
        if (!entry.isString())
            return makeError(ErrorCode::ProtocolViolation, name, "not a string");
        strings.push_back(entry.asString());
    }
    return strings;
}

Json::Value toJson(const std::vector<std::string> &strings)
{
    Json::Value array(Json::arrayValue);
    for (const auto &string : strings)
        array.append(string);
    return array;
}

Result<RowCheck> decodeCheck(const Json::Value &value)
{
    BOOST_LEAF_AUTO(key, stringMember(value, "key"));
    BOOST_LEAF_AUTO(expected, unsignedMember(value, "expected"));
    return RowCheck{key, expected};
}

Result<RowWrite> decodeWrite(const Json::Value &value)
{
    BOOST_LEAF_AUTO(key, stringMember(value, "key"));
    if (value.isMember("value") && value["value"].isNull())
        return RowWrite{key, std::nullopt};
    BOOST_LEAF_AUTO(text, stringMember(value, "value"));
    return RowWrite{key, text};
}

Result<Row> decodeRow(const Json::Value &value)
{
    BOOST_LEAF_AUTO(key, stringMember(value, "key"));
    BOOST_LEAF_AUTO(version, unsignedMember(value, "version"));
    BOOST_LEAF_AUTO(text, stringMember(value, "value"));
    return Row{key, version, text};
}

Json::Value toJson(Version version)
{
    return Json::Value(static_cast<Json::UInt64>(version));
}

} // namespace

std::string encodeTransaction(const Transaction &transaction)
{
    Json::Value body(Json::objectValue);
    body["operation"] = transaction.operationId;
    body["checks"] = Json::Value(Json::arrayValue);
    for (const auto &check : transaction.checks) {
        Json::Value entry(Json::objectValue);
        entry["key"] = check.key;
        entry["expected"] = toJson(check.expected);
        body["checks"].append(std::move(entry));
    }
    body["writes"] = Json::Value(Json::arrayValue);
    for (const auto &write : transaction.writes) {
        Json::Value entry(Json::objectValue);
        entry["key"] = write.key;
        entry["value"] = write.value ? Json::Value(*write.value) : Json::Value();
        body["writes"].append(std::move(entry));
    }
    return writeJson(body);
}

Result<Transaction> decodeTransaction(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    BOOST_LEAF_AUTO(operationId, stringMember(body, "operation"));
    BOOST_LEAF_AUTO(checks, arrayMember(body, "checks"));
    BOOST_LEAF_AUTO(writes, arrayMember(body, "writes"));
    Transaction transaction;
    transaction.operationId = operationId;
    for (const auto &entry : checks) {
        BOOST_LEAF_AUTO(check, decodeCheck(entry));
        transaction.checks.push_back(check);
    }
    for (const auto &entry : writes) {
        BOOST_LEAF_AUTO(write, decodeWrite(entry));
        transaction.writes.push_back(write);
    }
    return transaction;
}

std::string encodeCommitResult(const CommitResult &result)
{
    Json::Value body(Json::objectValue);
    body["status"] = std::string(commitStatusNames.nameOf(result.status));
    body["conflicts"] = toJson(result.conflicts);
    body["revision"] = toJson(result.revision);
    return writeJson(body);
}

Result<CommitResult> decodeCommitResult(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    BOOST_LEAF_AUTO(name, stringMember(body, "status"));
    const auto status = commitStatusNames.valueOf(name);
    if (!status)
        return makeError(ErrorCode::ProtocolViolation, "status", name);
    CommitResult result;
    result.status = *status;
    BOOST_LEAF_ASSIGN(result.conflicts, stringsMember(body, "conflicts"));
    BOOST_LEAF_ASSIGN(result.revision, unsignedMember(body, "revision"));
    return result;
}

std::string encodeReadRequest(const std::vector<std::string> &keys)
{
    Json::Value body(Json::objectValue);
    body["keys"] = toJson(keys);
    return writeJson(body);
}

Result<std::vector<std::string>> decodeReadRequest(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    return stringsMember(body, "keys");
}

std::string encodeScanRequest(const ScanRequest &request)
{
    Json::Value body(Json::objectValue);
    body["prefix"] = request.prefix;
    body["start_after"] = request.startAfter;
    body["limit"] = static_cast<Json::UInt64>(request.limit);
    return writeJson(body);
}

Result<ScanRequest> decodeScanRequest(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    ScanRequest request;
    BOOST_LEAF_ASSIGN(request.prefix, stringMember(body, "prefix"));
    BOOST_LEAF_ASSIGN(request.startAfter, stringMember(body, "start_after"));
    BOOST_LEAF_ASSIGN(request.limit, unsignedMember(body, "limit"));
    return request;
}

std::string encodeReadResult(const ReadResult &result)
{
    Json::Value body(Json::objectValue);
    body["more"] = result.more;
    body["rows"] = Json::Value(Json::arrayValue);
    for (const auto &row : result.rows) {
        Json::Value entry(Json::objectValue);
        entry["key"] = row.key;
        entry["version"] = toJson(row.version);
        entry["value"] = row.value;
        body["rows"].append(std::move(entry));
    }
    return writeJson(body);
}

Result<ReadResult> decodeReadResult(std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    BOOST_LEAF_AUTO(rows, arrayMember(body, "rows"));
    ReadResult result;
    result.status = ReadStatus::Ok;
    result.more = body["more"].isBool() && body["more"].asBool();
    for (const auto &entry : rows) {
        BOOST_LEAF_AUTO(row, decodeRow(entry));
        result.rows.push_back(row);
    }
    return result;
}

} // namespace Peridot
