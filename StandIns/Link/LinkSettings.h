#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Error.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Peridot {

enum class LinkProtocol { Tcp, Udp };

constexpr auto linkProtocolNames = makeEnumTable<LinkProtocol>({
    {LinkProtocol::Tcp, "tcp"},
    {LinkProtocol::Udp, "udp"},
});

/// One relay from a port of the stand-in to a port of the target. Both are on the address of the
/// stand-in.
struct LinkDescription
{
    std::string name;
    LinkProtocol protocol = LinkProtocol::Tcp;
    std::uint16_t port = 0; ///< 0: chosen by the operating system
    std::uint16_t targetPort = 0;
};

struct LinkSettings
{
    std::string address; ///< a loopback address
    std::uint16_t controlPort = 0;
    std::vector<LinkDescription> links;
};

/// Errors: those of loadSettings(), DuplicateName for a link, InvalidValue for an address that is
/// not a loopback address.
Result<LinkSettings> loadLinkSettings(const std::string &path);

} // namespace Peridot
