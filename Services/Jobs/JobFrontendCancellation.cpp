// Cancellations, also of jobs that are not accepted yet or have finished.

#include "PendingCall.h"

#include <Kernel/Jobs/JobRows.h>
#include <LibBase/Json.h>

namespace Peridot::Jobs {

void JobFrontend::cancel(const PendingCallPointer &pending)
{
    const std::string &id = pending->call.id;
    readRows(pending, {jobKey(id), cancellationKey(id), tombstoneKey(id)},
             [this, pending](const ReadResult &result) {
                 const Row &job = result.rows[0];
                 if (!isPresent(job))
                     return cancelWithoutJobRow(pending, isPresent(result.rows[2]));
                 if (!checkOwnerOfRow(pending, job))
                     return;
                 if (isPresent(result.rows[1]))
                     return answer(pending, {.outcome = CallOutcome::Cancelled});
                 cancelAcceptedJob(pending, job);
             });
}

void JobFrontend::cancelAcceptedJob(const PendingCallPointer &pending, const Row &job)
{
    Json::Value value(Json::objectValue);
    value["cancelled_ms"] = static_cast<Json::Int64>(toUnixMilliseconds(m_hooks.clock()));
    Transaction transaction;
    transaction.operationId = "cancel/" + pending->call.id;
    transaction.checks = {{job.key, job.version}};
    transaction.writes = {{cancellationKey(pending->call.id), writeJson(value)}};
    commit(pending, transaction, [this, pending](const CommitResult &result) {
        if (result.status == CommitStatus::Committed)
            return answer(pending, {.outcome = CallOutcome::Cancelled});
        // A conflict means that the job has finished. After a lost answer, the rows show whether
        // the write was applied.
        retry(pending, [this, pending] { cancel(pending); });
    });
}

void JobFrontend::cancelWithoutJobRow(const PendingCallPointer &pending, bool hasTombstone)
{
    if (hasTombstone)
        return answer(pending, {.outcome = CallOutcome::UnknownJob});
    readRows(pending, {progressKey(pending->call.id)}, [this, pending](const ReadResult &result) {
        if (!isPresent(result.rows[0]))
            return writeTombstone(pending);
        const auto progress = parseProgressRow(result.rows[0]);
        if (!progress)
            return fail(pending);
        if (checkOwner(pending, progress->organisation))
            answer(pending, {.outcome = CallOutcome::Cancelled});
    });
}

void JobFrontend::writeTombstone(const PendingCallPointer &pending)
{
    if (!m_tombstoneLimit.tryTake(m_hooks.clock()))
        return fail(pending);
    const std::string &id = pending->call.id;
    Transaction transaction;
    transaction.operationId = "tombstone/" + id;
    transaction.checks = {{jobKey(id), absentVersion},
                          {finishedKey(id), absentVersion},
                          {tombstoneKey(id), absentVersion}};
    transaction.writes = {{tombstoneKey(id), "{}"}};
    commit(pending, transaction, [this, pending](const CommitResult &result) {
        const bool wasAccepted = hasConflict(result, jobKey(pending->call.id));
        const bool hasOtherConflict = result.status == CommitStatus::Conflict && !wasAccepted;
        // The row of a finished job refuses submissions as a tombstone does.
        if (result.status == CommitStatus::Committed || hasOtherConflict)
            return answer(pending, {.outcome = CallOutcome::UnknownJob});
        // The rows show whether the job was accepted meanwhile, or the write was applied.
        retry(pending, [this, pending] { cancel(pending); });
    });
}

} // namespace Peridot::Jobs
