#pragma once

#include <Kernel/Membership/LeaseRow.h>
#include <json/value.h>
#include <string>

namespace Peridot {

enum class MemberRole { Entry, Fleet };

constexpr auto memberRoleNames = makeEnumTable<MemberRole>({
    {MemberRole::Entry, "entry"},
    {MemberRole::Fleet, "fleet"},
});

/// Description of a process in its member row and heartbeats.
struct MemberDescription
{
    std::string instance; ///< unique for each start
    MemberRole role = MemberRole::Entry;
    std::string peerAddress; ///< "ip:port" for datagrams
    std::string serviceAddress; ///< "ip:port" for callers or operators; may be empty
    std::string dataCentre;
};

/// Value of a row member/<instance>: a lease and the description of its holder.
struct MemberRow
{
    LeaseRow lease;
    MemberDescription description;
    std::uint64_t configurationVersion = 0; ///< in force when the row was written
    std::uint64_t viewEpoch = 0; ///< latest view known when the row was written
};

std::string writeMemberRow(const MemberRow &row);
/// Errors: InvalidJson, InvalidValue.
Result<MemberRow> parseMemberRow(std::string_view text);

} // namespace Peridot
