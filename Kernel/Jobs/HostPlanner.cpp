#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Delay before the next order for a host whose last order was not answered. The provider may still
// carry that order out seconds later.
constexpr std::chrono::milliseconds unknownOutcomeDelay{2000};
// Delay before the next order for a host whose last order was not accepted.
constexpr std::chrono::milliseconds refusedOrderDelay{300};
// Time for which long-running tasks on a host that is reserved for a wave wait for room elsewhere.
constexpr std::chrono::milliseconds relocationTime{1500};

} // namespace

HostPlanner::HostPlanner(std::uint64_t epoch, HostPlannerTiming timing, HostPlannerHooks hooks)
    : m_epoch(epoch), m_timing(timing), m_hooks(std::move(hooks)),
      m_forecast(
          [this](std::string_view kind, const std::string &detail) { observe(kind, {}, detail); })
{
}

void HostPlanner::observe(std::string_view kind, const std::string &host,
                          const std::string &detail) const
{
    if (m_hooks.observe)
        m_hooks.observe(kind, host, detail);
}

void HostPlanner::setHosts(TimePoint requestedAt, const HostList &list)
{
    m_listRequestedAt = requestedAt;
    m_listIsComplete = list.unreadableEntries == 0;
    auto previouslyListed = std::exchange(m_listedHosts, {});
    for (const auto &description : list.hosts)
        m_listedHosts.emplace(description.id, description);
    std::map<std::string, Host> updatedHosts;
    for (const auto &description : list.hosts) {
        const auto known = m_hosts.find(description.id);
        Host host = known == m_hosts.end() ? Host{} : std::move(known->second);
        // A list that was requested before the last order for the host was answered may not show
        // the effect of that order. After an order without an answer, only a list that was
        // requested after nextOrderAt shows that the host is up again, because the order may still
        // be carried out before.
        const bool isCurrent
            = !host.inTransition || (!host.orderInFlight && requestedAt > host.orderedAt);
        const bool upAgain = description.phase == HostPhase::Up && requestedAt >= host.nextOrderAt;
        if (host.inTransition && isCurrent && upAgain) {
            host.inTransition = false;
            observe("host-back", description.id, description.pool);
        }
        if (isCurrent)
            host.description = description;
        updatedHosts.emplace(description.id, std::move(host));
    }
    if (!m_listIsComplete) {
        observe("host-list-unreadable", {}, std::to_string(list.unreadableEntries));
        m_listedHosts.merge(previouslyListed);
        updatedHosts.merge(m_hosts);
    }
    m_hosts = std::move(updatedHosts);
}

std::set<std::string> HostPlanner::existingWorkers() const
{
    std::set<std::string> workers;
    for (const auto &[id, host] : m_listedHosts) {
        if (host.phase != HostPhase::Down && !host.worker.empty())
            workers.insert(host.worker);
    }
    return workers;
}

void HostPlanner::addWave(const MaintenanceWave &request, const std::set<std::string> &maintained)
{
    const auto [entry, isNew] = m_waves.try_emplace(request.number);
    if (!isNew)
        return;
    entry->second.request = request;
    entry->second.maintained = maintained;
    observe("wave-requested", {}, std::to_string(request.number));
}

void HostPlanner::deferOrders(const std::string &host, TimePoint time)
{
    m_ordersDeferredUntil[host] = time;
}

void HostPlanner::expectEarlierMaintenance(const std::string &host, TimePoint time)
{
    m_earlierMaintenanceUntil[host] = time;
}

bool HostPlanner::areOrdersDeferred(TimePoint now, const std::string &host) const
{
    const auto deferred = m_ordersDeferredUntil.find(host);
    return deferred != m_ordersDeferredUntil.end() && now < deferred->second;
}

bool HostPlanner::acceptsOrders(TimePoint now, const Host &host) const
{
    return !host.orderInFlight && now >= host.nextOrderAt && host.description.phase == HostPhase::Up
           && !areOrdersDeferred(now, host.description.id);
}

const std::set<std::string> &HostPlanner::maintainedHosts(std::uint64_t wave) const
{
    return m_waves.at(wave).maintained;
}

bool HostPlanner::hasPendingChanges() const
{
    const bool hasOpenWave = std::any_of(m_waves.begin(), m_waves.end(),
                                         [](const auto &entry) { return !entry.second.completed; });
    return hasOpenWave || std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto &entry) {
               return entry.second.inTransition;
           });
}

void HostPlanner::plan(TimePoint now, JobScheduler &scheduler,
                       const JobConfiguration &configuration)
{
    if (m_hosts.empty())
        return;
    if (m_initialHosts.empty()) {
        for (const auto &[id, host] : m_hosts)
            ++m_initialHosts[host.description.pool];
    }
    observeDemand(now, scheduler, configuration);
    m_hasSpareHosts = hasSpareHosts(now, configuration);
    for (auto &[number, wave] : m_waves) {
        if (!wave.completed)
            planWave(now, wave, scheduler);
    }
    releaseBlockedHosts(now, scheduler);
    planMoves(now, scheduler, configuration);
    applyReservations(now, scheduler);
}

bool HostPlanner::hasSpareHosts(TimePoint now, const JobConfiguration &configuration) const
{
    std::set<std::string> sparePools;
    for (const PoolSettings &pool : configuration.pools) {
        if (pool.spare)
            sparePools.insert(pool.name);
    }
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        const Host &host = entry.second;
        return sparePools.contains(host.description.pool) && !host.inTransition
               && host.reservedForWave == 0 && acceptsOrders(now, host);
    });
}

std::size_t HostPlanner::runCount(const Host &host, const JobScheduler &scheduler)
{
    const auto worker = scheduler.workers().find(host.description.worker);
    if (worker == scheduler.workers().end())
        return 0;
    return worker->second.runs.size() + worker->second.orphanedRuns.size();
}

double HostPlanner::allocatedShare(const Host &host, const JobScheduler &scheduler)
{
    const auto worker = scheduler.workers().find(host.description.worker);
    if (worker == scheduler.workers().end())
        return 0;
    const auto capacity = std::max<std::int64_t>(host.description.capacity.milliProcessors, 1);
    return static_cast<double>(worker->second.runs.reserved().milliProcessors)
           / static_cast<double>(capacity);
}

std::map<std::string, unsigned> HostPlanner::presentHosts() const
{
    std::map<std::string, unsigned> present;
    for (const auto &[id, host] : m_hosts) {
        const bool usable = host.inTransition || host.description.phase == HostPhase::Up
                            || host.description.phase == HostPhase::Moving;
        if (usable && host.reservedForWave == 0)
            ++present[host.description.pool];
    }
    return present;
}

void HostPlanner::sendOrder(TimePoint now, Host &host, const HostOrder &order)
{
    observe(hostOrderKindNames.nameOf(order.kind), order.host,
            order.kind == HostOrderKind::Move ? order.pool : std::to_string(order.wave));
    host.orderInFlight = true;
    host.inTransition = true;
    host.orderedAt = now;
    m_hooks.sendOrder(order);
}

void HostPlanner::orderFinished(TimePoint now, const HostOrder &order, HostOrderOutcome outcome)
{
    observe("host-order-answered", order.host, std::string(hostOrderOutcomeNames.nameOf(outcome)));
    if (outcome == HostOrderOutcome::Fenced)
        return m_hooks.fenced();
    const auto entry = m_hosts.find(order.host);
    if (entry == m_hosts.end())
        return;
    Host &host = entry->second;
    host.orderInFlight = false;
    host.orderedAt = now;
    const bool needsNoRetry
        = outcome == HostOrderOutcome::Accepted || outcome == HostOrderOutcome::WrongWave;
    if (needsNoRetry && order.kind == HostOrderKind::Maintain) {
        const auto wave = m_waves.find(order.wave);
        if (wave != m_waves.end())
            wave->second.maintained.insert(order.host);
        host.reservedForWave = 0;
        m_earlierMaintenanceUntil.erase(order.host);
    }
    if (outcome == HostOrderOutcome::Unknown)
        host.blockedSince.reset();
    if (outcome == HostOrderOutcome::Invalid)
        m_invalidMoves.insert({order.host, order.pool});
    if (outcome == HostOrderOutcome::Accepted) {
        host.reservedForMove = false;
        return;
    }
    if (outcome == HostOrderOutcome::Unknown) {
        host.nextOrderAt = now + unknownOutcomeDelay;
        return;
    }
    host.inTransition = false;
    host.nextOrderAt = now + refusedOrderDelay;
    host.reservedForMove = false;
}

void HostPlanner::applyReservations(TimePoint now, JobScheduler &scheduler) const
{
    for (const auto &[id, host] : m_hosts) {
        const std::string &worker = host.description.worker;
        if (worker.empty())
            continue;
        const bool isReservedForWave = host.reservedForWave != 0;
        scheduler.setUnschedulable(worker,
                                   host.inTransition || host.reservedForMove || isReservedForWave);
        scheduler.setMustBeEmptied(worker,
                                   isReservedForWave && now >= host.reservedAt + relocationTime);
    }
}

} // namespace Peridot::Jobs
