#include <Kernel/Request/BackendServerPool.h>

#include <algorithm>

namespace Peridot {

namespace {

/// Longest time for which the release of a slot is delayed after a failure.
constexpr Duration releaseDelayLimit = std::chrono::seconds(1);
/// Assumed duration of a request until the first one has succeeded.
constexpr Duration initialLatency = std::chrono::milliseconds(20);
/// Weight of one result in the moving average of the latency of a service.
constexpr double latencyWeight = 1.0 / 30;
/// The connections to a backend server are divided equally among the entry processes, but each
/// process may open at least this many.
constexpr unsigned minimumConnections = 1;
/// Number of additional draws that try to find a backend server other than the one to avoid.
constexpr unsigned avoidanceDraws = 4;

} // namespace

BackendServerPool::BackendServerPool(const std::string &instance,
                                     std::unique_ptr<RoutingPolicy> policy, std::uint64_t seed)
    : m_policy(std::move(policy)), m_random(seed),
      m_exchange(instance, m_policy->lendsSlots(), exchangeHooks())
{
}

SlotExchange::Hooks BackendServerPool::exchangeHooks()
{
    SlotExchange::Hooks hooks;
    hooks.freeSlotsChanged = [this](ServerIndex server) {
        update(server);
    };
    hooks.freeServers = [this](ServiceIndex service) -> const std::vector<ServerIndex> & {
        return m_services[service].freeServers;
    };
    hooks.isNeeded = [this](ServerIndex server) {
        const auto &services = m_servers[server].services;
        return std::any_of(services.begin(), services.end(),
                           [this](ServiceIndex service) { return waitingRequests(service) > 0; });
    };
    hooks.findService = [this](const std::string &name) -> std::optional<ServiceIndex> {
        const auto found = m_serviceIndex.find(name);
        if (found == m_serviceIndex.end())
            return std::nullopt;
        return found->second;
    };
    return hooks;
}

ServerIndex BackendServerPool::indexOf(const std::string &name)
{
    const auto [found, added]
        = m_serverIndex.emplace(name, static_cast<ServerIndex>(m_servers.size()));
    if (added)
        m_servers.emplace_back().name = name;
    return found->second;
}

void BackendServerPool::setServices(ServerIndex index, std::vector<ServiceIndex> services)
{
    setFree(index, false);
    m_servers[index].services = std::move(services);
    m_servers[index].positions.assign(m_servers[index].services.size(), 0);
}

void BackendServerPool::tableChanged(TimePoint now, const RoutingTable &table,
                                     const std::unordered_map<std::string, ServiceIndex> &services)
{
    m_serviceIndex = services;
    m_services.resize(services.size());
    for (Server &server : m_servers)
        server.inRoutingTable = false;
    for (const BackendServerRoute &route : table.backendServers) {
        const ServerIndex index = indexOf(route.name);
        std::vector<ServiceIndex> executed;
        for (const std::string &name : route.services) {
            const auto found = services.find(name);
            if (found != services.end())
                executed.push_back(found->second);
        }
        setServices(index, std::move(executed));
        Server &server = m_servers[index];
        server.slots = route.slots;
        server.connections = route.connections;
        server.inRoutingTable = true;
        server.leavingByTable = route.leaving;
        m_exchange.setServer(now, index, route.name, route.slots);
    }
    m_exchange.setReady();
    countUsableServers();
    for (ServerIndex index = 0; index < m_servers.size(); ++index)
        update(index);
}

void BackendServerPool::countUsableServers()
{
    for (ServiceState &service : m_services)
        service.usableServers = service.ejectedServers = 0;
    for (const Server &server : m_servers) {
        if (!server.acceptsRequests())
            continue;
        for (const ServiceIndex service : server.services)
            ++m_services[service].usableServers;
        if (server.accrual.state() != AccrualState::Available)
            countEjection(server, 1);
    }
}

void BackendServerPool::countEjection(const Server &server, int change)
{
    if (!server.acceptsRequests())
        return;
    for (const ServiceIndex service : server.services)
        m_services[service].ejectedServers += static_cast<unsigned>(change);
}

/// At most half of the servers of each service may be ejected, so that a failure that affects all
/// of them does not leave the service without a server.
bool BackendServerPool::mayEject(const Server &server) const
{
    return std::all_of(server.services.begin(), server.services.end(),
                       [this](ServiceIndex service) {
                           return 2 * (m_services[service].ejectedServers + 1)
                                  <= m_services[service].usableServers;
                       });
}

void BackendServerPool::membersChanged(TimePoint now, const EntryMembers &members)
{
    m_members = std::max<std::size_t>(1, members.instances.size());
    m_exchange.membersChanged(now, members);
    for (ServerIndex index = 0; index < m_servers.size(); ++index)
        update(index);
}

void BackendServerPool::serverLeaving(TimePoint, const std::string &name, bool leaving)
{
    const auto found = m_serverIndex.find(name);
    if (found == m_serverIndex.end())
        return;
    m_servers[found->second].leavingBySignal = leaving;
    countUsableServers();
    update(found->second);
}

unsigned BackendServerPool::connectionLimit(const Server &server) const
{
    return std::max(minimumConnections, static_cast<unsigned>(server.connections / m_members));
}

bool BackendServerPool::hasFreeSlot(const Server &server, ServerIndex index) const
{
    return server.acceptsRequests() && server.outstanding < connectionLimit(server)
           && (!m_policy->dividesSlots() || m_exchange.freeSlots(index) > 0);
}

void BackendServerPool::setFree(ServerIndex index, bool free)
{
    Server &server = m_servers[index];
    if (server.free == free)
        return;
    server.free = free;
    m_freeServerCount += free ? 1 : -1;
    for (std::size_t entry = 0; entry < server.services.size(); ++entry) {
        const ServiceIndex service = server.services[entry];
        auto &list = m_services[service].freeServers;
        if (free) {
            server.positions[entry] = list.size();
            list.push_back(index);
            continue;
        }
        const ServerIndex moved = list.back();
        list[server.positions[entry]] = moved;
        list.pop_back();
        Server &other = m_servers[moved];
        const auto found = std::find(other.services.begin(), other.services.end(), service);
        other.positions[static_cast<std::size_t>(found - other.services.begin())]
            = server.positions[entry];
    }
}

void BackendServerPool::update(ServerIndex index)
{
    if (index >= m_servers.size())
        return;
    const Server &server = m_servers[index];
    const bool hasSlot = hasFreeSlot(server, index);
    setFree(index, hasSlot && server.accrual.state() == AccrualState::Available);
    if (hasSlot && server.accrual.state() == AccrualState::ProbeReady)
        m_probeReady.insert(index);
    else
        m_probeReady.erase(index);
}

void BackendServerPool::advance(TimePoint now)
{
    m_exchange.advance(now);
    while (!m_delayedReleases.empty() && now >= m_delayedReleases.top().until) {
        const DelayedRelease entry = m_delayedReleases.top();
        m_delayedReleases.pop();
        freeSlot(now, entry.server, entry.slot);
    }
    while (!m_backoffs.empty() && now >= m_backoffs.top().end) {
        const ServerIndex server = m_backoffs.top().server;
        m_backoffs.pop();
        if (m_servers[server].accrual.backoffPassed(now))
            update(server);
    }
}

bool BackendServerPool::hasFreeServer(ServiceIndex service) const
{
    if (!m_services[service].freeServers.empty())
        return true;
    return std::any_of(m_probeReady.begin(), m_probeReady.end(), [&](ServerIndex index) {
        const auto &services = m_servers[index].services;
        return std::find(services.begin(), services.end(), service) != services.end();
    });
}

bool BackendServerPool::hasServer(ServiceIndex service) const
{
    return m_services[service].usableServers > 0;
}

double BackendServerPool::loadOf(ServerIndex index) const
{
    const Server &server = m_servers[index];
    const Duration latency = std::max(server.accrual.latency(), initialLatency);
    // A failure counts as a slow response: the failure rate adds up to releaseDelayLimit.
    const double failures = 1.0 - server.accrual.successRate();
    const double cost = toSeconds(latency) + failures * toSeconds(releaseDelayLimit);
    return (server.outstanding + 1) * cost;
}

std::optional<ServerIndex> BackendServerPool::chooseProbe(ServiceIndex service)
{
    for (const ServerIndex index : m_probeReady) {
        const auto &services = m_servers[index].services;
        if (std::find(services.begin(), services.end(), service) != services.end())
            return index;
    }
    return std::nullopt;
}

std::optional<ServerIndex> BackendServerPool::choose(ServiceIndex service,
                                                     const std::optional<ServerIndex> &avoid)
{
    const auto &candidates = m_services[service].freeServers;
    if (candidates.empty())
        return std::nullopt;
    const auto load = [this](ServerIndex index) {
        return loadOf(index);
    };
    ServerIndex chosen = m_policy->choose(candidates, load, m_random);
    for (unsigned draw = 0; avoid && chosen == *avoid && draw < avoidanceDraws; ++draw)
        chosen = m_policy->choose(candidates, load, m_random);
    return chosen;
}

std::optional<SlotReservation> BackendServerPool::reserve(TimePoint now, ServiceIndex service,
                                                          bool idempotent,
                                                          const std::optional<ServerIndex> &avoid)
{
    std::optional<ServerIndex> probe;
    if (idempotent && !m_probeReady.empty())
        probe = chooseProbe(service);
    const std::optional<ServerIndex> chosen = probe ? probe : choose(service, avoid);
    if (!chosen)
        return std::nullopt;
    SlotReservation reservation{*chosen, 0, service, probe.has_value(), now};
    Server &server = m_servers[*chosen];
    if (m_policy->dividesSlots()) {
        const auto slot = m_exchange.take(now, *chosen);
        if (!slot)
            return std::nullopt;
        reservation.slot = *slot;
    }
    ++server.outstanding;
    if (probe)
        server.accrual.probeStarted();
    update(*chosen);
    return reservation;
}

void BackendServerPool::freeSlot(TimePoint now, ServerIndex index, std::uint32_t slot)
{
    --m_servers[index].outstanding;
    if (m_policy->dividesSlots())
        m_exchange.release(now, index, slot);
    update(index);
}

void BackendServerPool::recordResult(TimePoint now, const SlotReservation &reservation,
                                     AttemptResult result)
{
    const Server &server = m_servers[reservation.server];
    FailureAccrual &accrual = m_servers[reservation.server].accrual;
    const Duration elapsed = now - reservation.startedAt;
    if (reservation.probe) {
        accrual.probeFinished(now, result == AttemptResult::Success, m_random);
        if (accrual.state() == AccrualState::Available)
            countEjection(server, -1);
        else
            m_backoffs.push({accrual.backoffEnd(), reservation.server});
        return;
    }
    bool eject = false;
    if (result == AttemptResult::Success) {
        eject = accrual.succeeded(elapsed);
        Duration &latency = m_services[reservation.service].latency;
        if (latency == Duration::zero())
            latency = elapsed;
        latency += Duration(static_cast<Duration::rep>(
            latencyWeight * static_cast<double>((elapsed - latency).count())));
    } else if (result == AttemptResult::Failure) {
        eject = accrual.failed();
    }
    if (eject && mayEject(server)) {
        accrual.eject(now, m_random);
        countEjection(server, 1);
        m_backoffs.push({accrual.backoffEnd(), reservation.server});
    }
}

void BackendServerPool::release(TimePoint now, const SlotReservation &reservation,
                                AttemptResult result)
{
    recordResult(now, reservation, result);
    // A server that fails quickly would become free sooner than the others and attract most of the
    // requests. Its slot is therefore released only when a typical response would have arrived.
    const Duration typical
        = std::min(releaseDelayLimit, std::max(latency(reservation.service), initialLatency));
    const TimePoint until = reservation.startedAt + typical;
    if (result == AttemptResult::Failure && until > now) {
        m_delayedReleases.push({until, reservation.server, reservation.slot});
        update(reservation.server);
        return;
    }
    freeSlot(now, reservation.server, reservation.slot);
}

Duration BackendServerPool::latency(ServiceIndex service) const
{
    return m_services[service].latency;
}

double BackendServerPool::capacity() const
{
    if (m_policy->dividesSlots())
        return static_cast<double>(m_exchange.ownedSlots());
    double slots = 0;
    for (const Server &server : m_servers)
        slots += server.acceptsRequests() ? server.slots : 0;
    return slots / static_cast<double>(m_members);
}

Json::Value BackendServerPool::dump() const
{
    Json::Value servers(Json::objectValue);
    for (ServerIndex index = 0; index < m_servers.size(); ++index) {
        const Server &server = m_servers[index];
        if (!server.inRoutingTable && server.outstanding == 0)
            continue;
        Json::Value &entry = servers[server.name];
        entry["outstanding"] = server.outstanding;
        entry["accrual"] = std::string(accrualStateNames.nameOf(server.accrual.state()));
        entry["ejected"] = server.accrual.state() != AccrualState::Available;
        entry["leaving"] = !server.acceptsRequests();
        entry["success_rate"] = server.accrual.successRate();
        entry["latency_ms"] = toSeconds(server.accrual.latency()) * 1000;
        if (m_policy->dividesSlots())
            entry["free_slots"] = Json::UInt64(m_exchange.freeSlots(index));
    }
    return servers;
}

} // namespace Peridot
