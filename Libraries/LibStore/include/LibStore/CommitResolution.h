#pragma once

#include <LibBase/EnumTable.h>
#include <LibStore/Transaction.h>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot {

/// Outcome of a commit as determined from a snapshot of its rows.
enum class CommitResolution {
    Applied,
    /// Not applied, and it never will be: a checked row was changed by another operation.
    NotApplied,
    /// Not applied when the rows were read, but the request may still be in flight. The same
    /// transaction may be sent again: its checks let only one of both take effect.
    NotYetApplied,
    /// Cannot be determined: the rows were overwritten since, or the read failed.
    Undecided,
};

constexpr auto commitResolutionNames = makeEnumTable<CommitResolution>({
    {CommitResolution::Applied, "applied"},
    {CommitResolution::NotApplied, "not-applied"},
    {CommitResolution::NotYetApplied, "not-yet-applied"},
    {CommitResolution::Undecided, "undecided"},
});

/// Key of the row that records an operation.
std::string operationKey(std::string_view operationId);

/// Adds the row operation/<operationId> to the checks and writes, so that the outcome can be read
/// back even after the other rows were overwritten. The row stays until its owner deletes it.
void addOperationRow(Transaction &transaction);

/// Whether the row was written by this operation: its value is a JSON object whose member
/// "operation" is the operation id. Other members are ignored, because callers of the system may
/// choose their text.
bool isWrittenByOperation(const Row &row, std::string_view operationId);

/// Keys to read for resolveCommit(): the checked and the written rows.
std::vector<std::string> resolutionKeys(const Transaction &transaction);

/// Resolves a commit from one consistent snapshot of its resolutionKeys(), which may be older than
/// the commit. \a rows must hold the rows in that order.
CommitResolution resolveCommit(const Transaction &transaction, const std::vector<Row> &rows);

} // namespace Peridot
