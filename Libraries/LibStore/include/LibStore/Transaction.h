#pragma once

#include <LibBase/EnumTable.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

/// Version of a row. It grows with every write of that row; 0 means that the row is absent.
using Version = std::uint64_t;

constexpr Version absentVersion = 0;

struct Row
{
    std::string key;
    Version version = absentVersion;
    std::string value; ///< JSON text; empty when the row is absent
};

/// Condition of a transaction: the row has exactly this version at commit.
struct RowCheck
{
    std::string key;
    Version expected = absentVersion;
};

/// Write of a transaction: a new value, or deletion when \c value is empty.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value;
};

/// Atomic set of conditions and writes. All checks hold and all writes take effect, or none does.
struct Transaction
{
    std::string
        operationId; ///< unique for each intended change; reused when the same change is retried
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
};

enum class CommitStatus {
    Committed,
    Conflict,
    Unavailable, ///< certainly not applied
    Refused, ///< certainly not applied, and will not be: it exceeds a limit of the store
    Unknown, ///< may have been applied; read back to find out
};

constexpr auto commitStatusNames = makeEnumTable<CommitStatus>({
    {CommitStatus::Committed, "committed"},
    {CommitStatus::Conflict, "conflict"},
    {CommitStatus::Unavailable, "unavailable"},
    {CommitStatus::Refused, "refused"},
    {CommitStatus::Unknown, "unknown"},
});

struct CommitResult
{
    CommitStatus status = CommitStatus::Unavailable;
    std::vector<std::string> conflicts; ///< keys whose check failed
    Version revision = absentVersion; ///< version of every row written by this transaction
    /// After a conflict: current state of the checked rows, if the store reports it.
    std::vector<Row> currentRows = {};
    std::int64_t storeMilliseconds = 0; ///< on a steady clock of the store, if it reports it
    /// Only when unavailable: the processes together make more calls than the store takes.
    bool rateLimited = false;
};

enum class ReadStatus { Ok, Unavailable };

struct ReadResult
{
    ReadStatus status = ReadStatus::Unavailable;
    std::vector<Row>
        rows; ///< read: one for each key, in order; scan: in key order, existing rows only
    bool more = false; ///< scan only: the limit was reached
    Version revision = absentVersion; ///< latest of the store at the read, if it reports it
    std::int64_t storeMilliseconds = 0; ///< on a steady clock of the store, if it reports it
    /// Only when unavailable: the processes together make more calls than the store takes.
    bool rateLimited = false;
};

} // namespace Peridot
