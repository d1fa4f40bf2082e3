#pragma once

#include <LibBase/EnumTable.h>

namespace Peridot {

/// Kind of call that the platform serves.
enum class Endpoint { Commit, Read, Scan, Object, Hosts, Command, Report };

constexpr auto endpointNames = makeEnumTable<Endpoint>({
    {Endpoint::Commit, "commit"},
    {Endpoint::Read, "read"},
    {Endpoint::Scan, "scan"},
    {Endpoint::Object, "object"},
    {Endpoint::Hosts, "hosts"},
    {Endpoint::Command, "command"},
    {Endpoint::Report, "report"},
});

} // namespace Peridot
