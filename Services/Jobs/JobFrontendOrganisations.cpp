// Which organisation makes a call, and whose jobs it may concern.

#include "PendingCall.h"

#include <Kernel/Jobs/JobRows.h>
#include <LibBase/Log.h>
#include <utility>

namespace Peridot::Jobs {

namespace {

/// Content of a row; nothing, and a log line, when it is malformed.
template <typename Record>
std::optional<Record> parseRow(const Row &row, Result<Record> (*parse)(std::string_view text))
{
    return valueOrElse(
        [&]() -> Result<std::optional<Record>> {
            BOOST_LEAF_AUTO(record, parse(row.value));
            return std::optional<Record>(std::move(record));
        },
        [&](const Error &error) {
            logEvent(LogLevel::Error, "row-unreadable",
                     {{"key", row.key}, {"error", describe(error)}});
            return std::optional<Record>();
        });
}

} // namespace

bool JobFrontend::authenticate(const PendingCallPointer &pending)
{
    const auto configuration = m_hooks.configuration();
    if (!configuration) {
        fail(pending);
        return false;
    }
    // The queue of the call may have been removed since the call was decoded.
    const JobCall &call = pending->call;
    const QueueSettings *queue = configuration->route(call.hostName, call.path);
    if (queue == nullptr && configuration->requiresKeys) {
        answer(pending, {.outcome = CallOutcome::UnknownQueue});
        return false;
    }
    const auto caller = queue == nullptr ? std::optional<Caller>(Caller{})
                                         : authorize(*configuration, *queue, call.key);
    if (!caller) {
        answer(pending, {.outcome = CallOutcome::Unauthorized});
        return false;
    }
    pending->caller = *caller;
    pending->configuration = configuration;
    return true;
}

bool JobFrontend::checkOwner(const PendingCallPointer &pending, const std::string &organisation)
{
    if (!pending->configuration->requiresKeys || mayAccess(pending->caller, organisation))
        return true;
    answer(pending, {.outcome = CallOutcome::WrongOrganisation});
    return false;
}

std::optional<JobProgress> JobFrontend::parseProgressRow(const Row &row)
{
    return parseRow(row, parseJobProgress);
}

bool JobFrontend::checkOwnerOfRow(const PendingCallPointer &pending, const Row &job)
{
    if (!pending->configuration->requiresKeys)
        return true;
    const auto submitted = parseRow(job, parseSubmittedJob);
    if (!submitted) {
        fail(pending);
        return false;
    }
    const QueueSettings *queue = pending->configuration->queue(submitted->queue.name);
    const bool isPublic = queue != nullptr && queue->isPublic;
    return isPublic || checkOwner(pending, submitted->organisation);
}

void JobFrontend::answerAcceptedCopy(const PendingCallPointer &pending)
{
    if (!pending->configuration->requiresKeys)
        return answer(pending, {.outcome = CallOutcome::Accepted});
    const std::string &id = pending->call.id;
    readRows(pending, {jobKey(id), progressKey(id)}, [this, pending](const ReadResult &result) {
        if (isPresent(result.rows[0]) && !checkOwnerOfRow(pending, result.rows[0]))
            return;
        const bool onlyProgress = !isPresent(result.rows[0]) && isPresent(result.rows[1]);
        const auto progress
            = onlyProgress ? parseProgressRow(result.rows[1]) : std::optional<JobProgress>();
        if (!progress || checkOwner(pending, progress->organisation))
            answer(pending, {.outcome = CallOutcome::Accepted});
    });
}

} // namespace Peridot::Jobs
