#include <LibStore/CommitResolution.h>

#include <LibBase/Json.h>
#include <algorithm>
#include <map>

namespace Peridot {

namespace {

constexpr const char *operationMember = "operation";

using RowIndex = std::map<std::string_view, const Row *>;

RowIndex indexOf(const std::vector<Row> &rows)
{
    RowIndex index;
    for (const auto &row : rows)
        index[row.key] = &row;
    return index;
}

Version versionOf(const RowIndex &index, const std::string &key)
{
    const auto found = index.find(key);
    return found == index.end() ? absentVersion : found->second->version;
}

bool isWritten(const Transaction &transaction, const std::string &key)
{
    return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [&](const RowWrite &write) { return write.key == key; });
}

bool anyRowCarries(const Transaction &transaction, const RowIndex &index)
{
    return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [&](const RowWrite &write) {
                           const auto found = index.find(write.key);
                           return found != index.end()
                                  && isWrittenByOperation(*found->second, transaction.operationId);
                       });
}

// All writes happen together, so one checked and written row in its old state shows that the
// transaction was not applied when the snapshot was taken.
bool showsNoEffect(const Transaction &transaction, const RowIndex &index)
{
    return std::any_of(transaction.checks.begin(), transaction.checks.end(),
                       [&](const RowCheck &check) {
                           return isWritten(transaction, check.key)
                                  && versionOf(index, check.key) == check.expected;
                       });
}

// A version above the expected one never goes back to it. A lower one may only mean that the
// snapshot is old, and an absent row may come from either.
bool neverHoldsAgain(const Transaction &transaction, const RowIndex &index)
{
    return std::any_of(
        transaction.checks.begin(), transaction.checks.end(), [&](const RowCheck &check) {
            return check.expected != absentVersion && versionOf(index, check.key) > check.expected;
        });
}

} // namespace

std::string operationKey(std::string_view operationId)
{
    return "operation/" + std::string(operationId);
}

void addOperationRow(Transaction &transaction)
{
    const std::string key = operationKey(transaction.operationId);
    Json::Value value(Json::objectValue);
    value[operationMember] = transaction.operationId;
    transaction.checks.push_back({key, absentVersion});
    transaction.writes.push_back({key, writeJson(value)});
}

bool isWrittenByOperation(const Row &row, std::string_view operationId)
{
    if (row.version == absentVersion || operationId.empty())
        return false;
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(value, parseJson(row.value));
            if (!value.isObject() || !value[operationMember].isString())
                return false;
            return value[operationMember].asString() == operationId;
        },
        [](const Error &) { return false; });
}

std::vector<std::string> resolutionKeys(const Transaction &transaction)
{
    std::vector<std::string> keys;
    for (const auto &check : transaction.checks)
        keys.push_back(check.key);
    for (const auto &write : transaction.writes)
        keys.push_back(write.key);
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    return keys;
}

CommitResolution resolveCommit(const Transaction &transaction, const std::vector<Row> &rows)
{
    const RowIndex index = indexOf(rows);
    if (anyRowCarries(transaction, index))
        return CommitResolution::Applied;
    if (!showsNoEffect(transaction, index))
        return CommitResolution::Undecided;
    if (neverHoldsAgain(transaction, index))
        return CommitResolution::NotApplied;
    return CommitResolution::NotYetApplied;
}

} // namespace Peridot
