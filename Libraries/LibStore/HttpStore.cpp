#include <LibStore/HttpStore.h>

#include <LibBase/Log.h>
#include <LibStore/TableCodec.h>
#include <optional>

namespace Peridot {

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;

std::optional<CommitResult> decodedCommit(const HttpReply &reply)
{
    return valueOrElse(
        [&]() -> Result<std::optional<CommitResult>> {
            BOOST_LEAF_AUTO(result, decodeCommitResult(reply.body));
            return std::optional<CommitResult>(result);
        },
        [](const Error &error) {
            logEvent(LogLevel::Warning, "store-answer-invalid", {{"error", describe(error)}});
            return std::optional<CommitResult>();
        });
}

// A status counts only together with the body that states it: an intermediary that answers 503 on
// its own does not know whether the commit was applied.
bool statusMatches(int status, CommitStatus result)
{
    switch (result) {
    case CommitStatus::Committed:
        return status == statusOk;
    case CommitStatus::Conflict:
        return status == statusConflict;
    case CommitStatus::Unavailable:
        return status == statusUnavailable || status == statusBadRequest;
    case CommitStatus::Refused:
        return status == statusBadRequest;
    case CommitStatus::Unknown:
        return true;
    }
    return false;
}

CommitResult toCommitResult(const HttpReply &reply)
{
    CommitResult unknown;
    unknown.status = CommitStatus::Unknown;
    if (reply.outcome == HttpOutcome::NotSent)
        return {};
    if (reply.outcome == HttpOutcome::MaybeSent)
        return unknown;
    const auto result = decodedCommit(reply);
    if (!result || !statusMatches(reply.status, result->status))
        return unknown;
    return *result;
}

ReadResult toReadResult(const HttpReply &reply)
{
    if (reply.outcome != HttpOutcome::Answered || reply.status != statusOk)
        return {};
    return valueOrElse(
        [&] { return decodeReadResult(reply.body); },
        [](const Error &error) {
            logEvent(LogLevel::Warning, "store-answer-invalid", {{"error", describe(error)}});
            return ReadResult{};
        });
}

} // namespace

HttpStore::HttpStore(HttpChannelSettings settings, CallbackExecutor executor)
    : m_channel(std::make_shared<HttpChannel>(std::move(settings), std::move(executor)))
{
}

HttpStore::HttpStore(std::shared_ptr<HttpChannel> channel) : m_channel(std::move(channel)) { }

void HttpStore::commit(const Transaction &transaction, CommitCallback callback)
{
    m_channel->send({"POST", "/table/commit", encodeTransaction(transaction), true},
                    [callback = std::move(callback)](const HttpReply &reply) {
                        callback(toCommitResult(reply));
                    });
}

void HttpStore::read(const std::vector<std::string> &keys, ReadCallback callback)
{
    const std::size_t expected = keys.size();
    m_channel->send({"POST", "/table/read", encodeReadRequest(keys), false},
                    [callback = std::move(callback), expected](const HttpReply &reply) {
                        ReadResult result = toReadResult(reply);
                        if (result.rows.size() != expected)
                            result = {};
                        callback(result);
                    });
}

void HttpStore::scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
                     ReadCallback callback)
{
    m_channel->send({"POST", "/table/scan", encodeScanRequest({prefix, startAfter, limit}), false},
                    [callback = std::move(callback)](const HttpReply &reply) {
                        callback(toReadResult(reply));
                    });
}

} // namespace Peridot
