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

/// A slot of a backend server, taken for one attempt.
struct SlotReservation
{
    ServerIndex server = 0;
    std::uint32_t slot = 0;
    ServiceIndex service = 0;
    bool probe = false;
    TimePoint startedAt;
};

/// How an attempt ended, as far as the judgement of its backend server goes.
enum class AttemptVerdict {
    Success,
    Failure,
    None, ///< no attempt was made
};

/// The backend servers: which of them can take a request of a service, their slots in use, and
/// their failure accrual. Keeps an index of the servers with free slots for each service.
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
    /// Takes a slot. Prefers another server than \a avoid. Only idempotent requests are probes.
    std::optional<SlotReservation> reserve(TimePoint now, ServiceIndex service, bool idempotent,
                                           const std::optional<ServerIndex> &avoid);
    void release(TimePoint now, const SlotReservation &reservation, AttemptVerdict verdict);

    /// Whether new work may be sent to the server: it is listed and not leaving.
    bool mayWork(ServerIndex server) const { return m_servers[server].mayWork(); }
    const std::string &nameOf(ServerIndex server) const { return m_servers[server].name; }
    /// Slots that this process may expect to use.
    double capacity() const;
    /// Typical time of a successful request of the service; zero when unknown.
    Duration latency(ServiceIndex service) const;
    SlotExchange &exchange() { return m_exchange; }
    const SlotExchange &exchange() const { return m_exchange; }
    bool dividesSlots() const { return m_policy->dividesSlots(); }
    /// Waiting requests by service, as of the last decision.
    std::function<std::size_t(ServiceIndex)> waitingRequests;
    Json::Value dump() const;

private:
    struct Server
    {
        std::string name;
        unsigned slots = 0;
        unsigned connections = 0;
        std::vector<ServiceIndex> services;
        std::vector<std::size_t> positions; ///< in the free list of each service, when free
        bool listed = false;
        bool leavingByTable = false;
        bool leavingBySignal = false;
        bool free = false;
        unsigned outstanding = 0; ///< attempts, and slots held back after a failure
        FailureAccrual accrual;

        bool mayWork() const { return listed && !leavingByTable && !leavingBySignal; }
    };

    struct HeldBack
    {
        TimePoint until;
        ServerIndex server;
        std::uint32_t slot;
        bool operator>(const HeldBack &other) const { return until > other.until; }
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
        unsigned workingServers = 0;
        unsigned ejectedServers = 0; ///< among the working ones
        Duration latency{0};
    };

    ServerIndex indexOf(const std::string &name);
    void setServices(ServerIndex index, std::vector<ServiceIndex> services);
    void setFree(ServerIndex index, bool free);
    void update(ServerIndex index);
    void countWorkingServers();
    void countEjection(const Server &server, int change);
    bool mayEject(const Server &server) const;
    unsigned connectionLimit(const Server &server) const;
    bool hasFreeSlot(const Server &server, ServerIndex index) const;
    double loadOf(ServerIndex index) const;
    std::optional<ServerIndex> chooseProbe(ServiceIndex service);
    std::optional<ServerIndex> choose(ServiceIndex service,
                                      const std::optional<ServerIndex> &avoid);
    void judge(TimePoint now, const SlotReservation &reservation, AttemptVerdict verdict);
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
    std::priority_queue<HeldBack, std::vector<HeldBack>, std::greater<>> m_heldBack;
    std::priority_queue<Backoff, std::vector<Backoff>, std::greater<>> m_backoffs;
    SlotExchange m_exchange;
};

} // namespace Peridot
