#pragma once

#include <Kernel/Request/FailureAccrual.h>
#include <Kernel/Request/RoutingPolicy.h>
#include <Kernel/Request/RoutingTable.h>
#include <Kernel/Request/SlotExchange.h>
#include <json/value.h>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Peridot {

/// A slot of a backend server that is reserved for one attempt.
struct SlotReservation
{
    ServerIndex server = 0;
    std::uint32_t slot = 0;
    ServiceIndex service = 0;
    bool probe = false;
    TimePoint startedAt;
};

/// Result of an attempt for the failure accrual of its backend server.
enum class AttemptResult {
    Success,
    Failure,
    None, ///< not counted
};

/// The backend servers with their slots in use and their failure accrual. Keeps an index of the
/// servers with free slots for each service.
class BackendServerPool
{
public:
    BackendServerPool(const std::string &instance, std::unique_ptr<RoutingPolicy> policy,
                      std::uint64_t seed);

    void tableChanged(TimePoint now, const RoutingTable &table,
                      const std::unordered_map<std::string, ServiceIndex> &services);
    void membersChanged(TimePoint now, const EntryMembers &members);
    void serverLeaving(TimePoint now, const std::string &name, bool leaving);
    void advance(TimePoint now);

    bool hasFreeServer() const { return m_freeServerCount > 0 || !m_probeReady.empty(); }
    bool hasFreeServer(ServiceIndex service) const;
    /// Whether any backend server may execute the service, free or not.
    bool hasServer(ServiceIndex service) const;
    /// Reserves a slot, preferably on another server than \a avoid. Only idempotent requests are
    /// used as probes of ejected servers.
    std::optional<SlotReservation> reserve(TimePoint now, ServiceIndex service, bool idempotent,
                                           const std::optional<ServerIndex> &avoid);
    void release(TimePoint now, const SlotReservation &reservation, AttemptResult result);

    /// Whether new requests may be sent to the server: it is in the routing table and not leaving.
    bool acceptsRequests(ServerIndex server) const { return m_servers[server].acceptsRequests(); }
    const std::string &nameOf(ServerIndex server) const { return m_servers[server].name; }
    /// Number of slots that this process can expect to use.
    double capacity() const;
    /// Typical duration of a successful request of the service; zero when unknown.
    Duration latency(ServiceIndex service) const;
    SlotExchange &exchange() { return m_exchange; }
    const SlotExchange &exchange() const { return m_exchange; }
    bool dividesSlots() const { return m_policy->dividesSlots(); }
    /// Returns the number of waiting requests of a service, as of the last decision.
    std::function<std::size_t(ServiceIndex)> waitingRequests;
    Json::Value dump() const;

private:
    struct Server
    {
        std::string name;
        unsigned slots = 0;
        unsigned connections = 0;
        std::vector<ServiceIndex> services;
        /// Positions in the lists of free servers of the services; valid while \c free is set.
        std::vector<std::size_t> positions;
        bool inRoutingTable = false; ///< in the current routing table
        bool leavingByTable = false;
        bool leavingBySignal = false;
        bool free = false;
        unsigned outstanding = 0; ///< attempts in flight and slots with a delayed release
        FailureAccrual accrual;

        bool acceptsRequests() const
        {
            return inRoutingTable && !leavingByTable && !leavingBySignal;
        }
    };

    struct DelayedRelease
    {
        TimePoint until;
        ServerIndex server;
        std::uint32_t slot;
        bool operator>(const DelayedRelease &other) const { return until > other.until; }
    };

    struct Backoff
    {
        TimePoint end;
        ServerIndex server;
        bool operator>(const Backoff &other) const { return end > other.end; }
    };

    struct ServiceState
    {
        std::vector<ServerIndex> freeServers;
        unsigned usableServers = 0;
        unsigned ejectedServers = 0; ///< number of usable servers that are ejected
        Duration latency{0};
    };

    ServerIndex indexOf(const std::string &name);
    void setServices(ServerIndex index, std::vector<ServiceIndex> services);
    void setFree(ServerIndex index, bool free);
    void update(ServerIndex index);
    void countUsableServers();
    void countEjection(const Server &server, int change);
    bool mayEject(const Server &server) const;
    unsigned connectionLimit(const Server &server) const;
    bool hasFreeSlot(const Server &server, ServerIndex index) const;
    double loadOf(ServerIndex index) const;
    std::optional<ServerIndex> chooseProbe(ServiceIndex service);
    std::optional<ServerIndex> choose(ServiceIndex service,
                                      const std::optional<ServerIndex> &avoid);
    void recordResult(TimePoint now, const SlotReservation &reservation, AttemptResult result);
    void freeSlot(TimePoint now, ServerIndex server, std::uint32_t slot);
    SlotExchange::Hooks exchangeHooks();

    std::unique_ptr<RoutingPolicy> m_policy;
    RandomSource m_random;
    std::vector<Server> m_servers;
    std::unordered_map<std::string, ServerIndex> m_serverIndex;
    std::unordered_map<std::string, ServiceIndex> m_serviceIndex;
    std::vector<ServiceState> m_services;
    std::set<ServerIndex> m_probeReady;
    std::size_t m_freeServerCount = 0;
    std::size_t m_members = 1;
    std::priority_queue<DelayedRelease, std::vector<DelayedRelease>, std::greater<>>
        m_delayedReleases;
    std::priority_queue<Backoff, std::vector<Backoff>, std::greater<>> m_backoffs;
    SlotExchange m_exchange;
};

} // namespace Peridot
