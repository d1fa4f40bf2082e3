#pragma once

#include <Kernel/Membership/MembershipTiming.h>
#include <LibBase/Error.h>
#include <LibBase/Log.h>
#include <LibBase/Time.h>
#include <LibBase/TlsSettings.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

/// Operator who may call this process, identified by a token.
struct OperatorAccess
{
    std::string name;
    std::string token;
};

struct FleetSettings
{
    std::string instancePrefix;
    std::string dataCentre;
    std::string storeUrl;
    std::string peerAddress; ///< "ip:port" for datagrams
    std::string advertisedPeerAddress; ///< "ip:port" for messages of members; empty: bound address
    std::string peerKey; ///< shared by all members
    std::vector<std::string> peers; ///< "ip:port" of the other members
    std::string operatorAddress; ///< IP address for operators' calls and pages
    std::uint16_t operatorPort = 0;
    std::optional<TlsSettings> operatorTls; ///< nothing: plain HTTP
    std::vector<OperatorAccess> operators;
    double writesPerSecond = 300; ///< over all processes
    double readsPerSecond = 2000; ///< over all processes
    Duration planPeriod = std::chrono::milliseconds(500);
    std::string placementPolicy = "peridot";
    LogLevel logLevel = LogLevel::Info;
    MembershipTiming timing;
};

/// Errors: those of loadSettings(), and InvalidValue for an address that cannot be parsed.
Result<FleetSettings> loadFleetSettings(const std::string &path);

} // namespace Peridot
