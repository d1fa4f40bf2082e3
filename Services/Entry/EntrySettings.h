#pragma once

#include <Kernel/Request/RoutingTable.h>
#include <LibBase/Error.h>
#include <LibBase/TlsSettings.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

struct ListenAddress
{
    std::string address; ///< IP address
    std::uint16_t port = 0; ///< 0: chosen by the operating system
    std::optional<TlsSettings> tls; ///< nothing: plain HTTP
};

/// Membership of an entry process, in the section "membership".
struct EntryMembershipSettings
{
    std::string peerKey; ///< shared by all members
    std::string advertisedAddress; ///< "ip:port" for messages of members; empty: bound address
    std::vector<std::string> peers; ///< "ip:port" of the other members
    std::chrono::seconds lease{10};
    double writesPerSecond = 300; ///< over all processes
    double readsPerSecond = 2000; ///< over all processes
};

/// Settings of one entry process.
struct EntrySettings
{
    std::string instancePrefix;
    std::string dataCentre;
    ListenAddress callers;
    ListenAddress administration;
    ListenAddress peers;
    std::string storeUrl; ///< empty: no store; non-idempotent requests are refused
    std::string operatorToken;
    std::size_t serverThreads = 2;
    std::size_t transportThreads = 2; ///< each has its own connections to backend servers
    std::size_t maximumConnections = 2000;
    std::size_t queueLimit = 2000; ///< waiting requests of one service
    std::chrono::milliseconds readTimeout{10000};
    std::chrono::milliseconds maximumDeadline{300000};
    std::chrono::milliseconds stopGrace{500}; ///< refuses requests this long after SIGTERM
    std::chrono::milliseconds stopLimit{30000}; ///< time for requests in flight after SIGTERM
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::seconds idleConnectionTimeout{5}; ///< connections to backend servers
    std::size_t maximumAnswerBytes = 4UL * 1024 * 1024;
    std::string admissionPolicy = "fair-share";
    std::string routingPolicy = "lent-slots";
    std::string logLevel = "info";
    std::shared_ptr<const RoutingTable> bootstrap; ///< used until a configuration arrives
    std::optional<EntryMembershipSettings> membership; ///< nothing: this process is the only member
};

/// Errors: FileUnreadable, InvalidJson, SchemaViolation, DuplicateName, UnknownReference, with the
/// path of the setting in the field.
Result<EntrySettings> loadEntrySettings(const std::string &path);

/// Parses a routing table: {"version", "services": [...], "backend_servers": [...]}. Errors:
/// DuplicateName, UnknownReference, with the path in the field.
Result<std::shared_ptr<const RoutingTable>> parseRoutingTable(const Json::Value &value);

} // namespace Peridot
