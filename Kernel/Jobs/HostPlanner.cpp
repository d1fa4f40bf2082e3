#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Peridot::Jobs {

namespace {

// An order without an answer may be carried out seconds later.
constexpr std::chrono::milliseconds unknownOrderPause{2000};
constexpr std::chrono::milliseconds refusedOrderPause{300};
// Time that a host needs to become empty by placement: most short tasks end within it.
constexpr std::chrono::milliseconds drainAllowance{3000};
// A wave should be over this long before its period.
constexpr std::chrono::milliseconds waveReserve{5000};
// Short tasks on a host that is due are stopped when less than this is left of the period.
constexpr std::chrono::milliseconds waveUrgent{4000};
// A pool gives up at most this share of its hosts to maintenance at the same time.
constexpr std::size_t poolShareDivisor = 3;

} // namespace

HostPlanner::HostPlanner(std::uint64_t epoch, HostPlannerTiming timing, HostPlannerHooks hooks,
                         TimePoint now)
    : m_epoch(epoch), m_timing(timing), m_hooks(std::move(hooks)), m_begunAt(now)
{
}

void HostPlanner::observe(std::string_view kind, const std::string &host,
                          const std::string &detail) const
{
    if (m_hooks.observe)
        m_hooks.observe(kind, host, detail);
}

void HostPlanner::setHosts(TimePoint asked, const std::vector<HostDescription> &hosts)
{
    m_listAskedAt = asked;
    std::map<std::string, Host> next;
    for (const auto &description : hosts) {
        const auto known = m_hosts.find(description.id);
        Host host = known == m_hosts.end() ? Host{} : std::move(known->second);
        // A list that was asked for before the last order does not show its effect.
        const bool shows = !host.away || (!host.orderInFlight && asked > host.orderedAt);
        // On a host that is off, in a spare pool, runs no worker at all.
        const bool back
            = description.phase == HostPhase::Up && description.worker != host.workerBefore;
        if (host.away && shows && back) {
            host.away = false;
            observe("host-back", description.id, description.pool);
        }
        if (shows)
            host.description = description;
        next.emplace(description.id, std::move(host));
    }
    m_hosts = std::move(next);
}

void HostPlanner::setWave(TimePoint now, const MaintenanceWave &request,
                          const std::set<std::string> &done)
{
    const auto [entry, isNew] = m_waves.try_emplace(request.number);
    if (!isNew)
        return;
    entry->second.request = request;
    entry->second.seenAt = now;
    entry->second.done = done;
    observe("wave-requested", {}, std::to_string(request.number));
}

const std::set<std::string> &HostPlanner::doneHosts(std::uint64_t wave) const
{
    return m_waves.at(wave).done;
}

bool HostPlanner::changesUnderWay() const
{
    const bool waves = std::any_of(m_waves.begin(), m_waves.end(),
                                   [](const auto &entry) { return !entry.second.completed; });
    return waves || std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto &entry) {
               return entry.second.away;
           });
}

void HostPlanner::plan(TimePoint now, JobScheduler &scheduler,
                       const JobConfiguration &configuration)
{
    if (m_hosts.empty())
        return;
    observeDemand(now, scheduler, configuration);
    // A former holder may have given orders until its lease ended.
    if (now < m_begunAt + m_timing.holderPause && m_epoch > 1)
        return;
    for (auto &[number, wave] : m_waves) {
        if (!wave.completed)
            planWave(now, wave, scheduler);
    }
    planMoves(now, scheduler, configuration);
    applyReservations(scheduler);
}

std::size_t HostPlanner::runsOn(const Host &host, const JobScheduler &scheduler)
{
    const auto worker = scheduler.workers().find(host.description.worker);
    if (worker == scheduler.workers().end())
        return 0;
    return worker->second.runs.size() + worker->second.foreignRuns.size();
}

double HostPlanner::load(const Host &host, const JobScheduler &scheduler)
{
    const auto worker = scheduler.workers().find(host.description.worker);
    if (worker == scheduler.workers().end())
        return 0;
    const auto capacity = std::max<std::int64_t>(host.description.capacity.milliProcessors, 1);
    return static_cast<double>(worker->second.used().milliProcessors)
           / static_cast<double>(capacity);
}

// Maintenance

unsigned HostPlanner::inMaintenance(const Wave &wave) const
{
    return static_cast<unsigned>(std::count_if(
        wave.request.hosts.begin(), wave.request.hosts.end(), [&](const std::string &id) {
            const auto host = m_hosts.find(id);
            return host != m_hosts.end()
                   && (host->second.away
                       || host->second.description.phase == HostPhase::Maintenance);
        }));
}

unsigned HostPlanner::wantedAtOnce(TimePoint now, const Wave &wave, std::size_t left) const
{
    const Duration cycle = drainAllowance + m_timing.maintenance;
    const Duration remaining = wave.seenAt + wave.request.period - waveReserve - now;
    if (remaining <= cycle)
        return wave.request.atOnce;
    const double rounds = toSeconds(remaining) / toSeconds(cycle);
    const auto needed = static_cast<unsigned>(std::ceil(static_cast<double>(left) / rounds));
    return std::min(needed, wave.request.atOnce);
}

void HostPlanner::planWave(TimePoint now, Wave &wave, JobScheduler &scheduler)
{
    std::size_t left = 0;
    for (const std::string &id : wave.request.hosts) {
        // A host that the provider no longer lists needs no maintenance.
        if (!wave.done.contains(id) && m_hosts.contains(id))
            ++left;
    }
    if (left == 0) {
        wave.completed = true;
        observe("wave-completed", {}, std::to_string(wave.request.number));
        m_hooks.waveCompleted(wave.request.number);
        return;
    }
    reserveForWave(now, wave, scheduler);
    const bool urgent = now > wave.seenAt + wave.request.period - waveUrgent;
    for (const std::string &id : wave.request.hosts) {
        const auto entry = m_hosts.find(id);
        if (entry == m_hosts.end() || entry->second.reservedForWave != wave.request.number)
            continue;
        Host &host = entry->second;
        if (host.orderInFlight || now < host.notBefore || host.description.phase != HostPhase::Up)
            continue;
        if (runsOn(host, scheduler) > 0) {
            if (urgent)
                scheduler.stopShortRuns(now, host.description.worker);
            continue;
        }
        if (inMaintenance(wave) >= wave.request.atOnce)
            return;
        order(now, host, {HostOrderKind::Maintain, id, {}, wave.request.number, m_epoch});
    }
}

void HostPlanner::reserveForWave(TimePoint now, Wave &wave, const JobScheduler &scheduler)
{
    std::vector<Host *> waiting;
    std::size_t taken = inMaintenance(wave);
    std::map<std::string, std::size_t> takenByPool;
    std::map<std::string, std::size_t> hostsByPool;
    for (auto &[id, host] : m_hosts) {
        ++hostsByPool[host.description.pool];
        if (host.away || host.reservedForWave != 0)
            ++takenByPool[host.description.pool];
    }
    for (const std::string &id : wave.request.hosts) {
        const auto host = m_hosts.find(id);
        if (host == m_hosts.end() || wave.done.contains(id))
            continue;
        if (host->second.reservedForWave != 0)
            ++taken;
        else if (!host->second.away && host->second.description.phase == HostPhase::Up)
            waiting.push_back(&host->second);
    }
    const unsigned wanted = wantedAtOnce(now, wave, waiting.size() + taken);
    std::stable_sort(waiting.begin(), waiting.end(), [&](const Host *left, const Host *right) {
        return load(*left, scheduler) < load(*right, scheduler);
    });
    const bool late = wanted >= wave.request.atOnce;
    for (Host *host : waiting) {
        if (taken >= wanted)
            return;
        const std::string &pool = host->description.pool;
        const std::size_t limit = std::max<std::size_t>(1, hostsByPool[pool] / poolShareDivisor);
        if (!late && takenByPool[pool] >= limit)
            continue;
        host->reservedForWave = wave.request.number;
        host->reservedForPool.clear();
        ++taken;
        ++takenByPool[pool];
        observe("host-reserved", host->description.id,
                "wave " + std::to_string(wave.request.number));
    }
}

void HostPlanner::order(TimePoint now, Host &host, HostOrder order)
{
    observe(hostOrderKindNames.nameOf(order.kind), order.host,
            order.kind == HostOrderKind::Move ? order.pool : std::to_string(order.wave));
    host.orderInFlight = true;
    host.away = true;
    host.workerBefore = host.description.worker;
    host.orderedAt = now;
    m_hooks.order(order);
}

void HostPlanner::orderFinished(TimePoint now, const HostOrder &order, HostOrderOutcome outcome)
{
    observe("host-order-answered", order.host, std::string(hostOrderOutcomeNames.nameOf(outcome)));
    if (outcome == HostOrderOutcome::Fenced)
        return m_hooks.deposed();
    const auto entry = m_hosts.find(order.host);
    if (entry == m_hosts.end())
        return;
    Host &host = entry->second;
    host.orderInFlight = false;
    host.orderedAt = now;
    const bool settled
        = outcome == HostOrderOutcome::Accepted || outcome == HostOrderOutcome::WrongWave;
    if (settled && order.kind == HostOrderKind::Maintain) {
        const auto wave = m_waves.find(order.wave);
        if (wave != m_waves.end())
            wave->second.done.insert(order.host);
        host.reservedForWave = 0;
    }
    if (outcome == HostOrderOutcome::Invalid)
        m_impossible.insert({order.host, order.pool});
    if (outcome == HostOrderOutcome::Accepted) {
        host.reservedForPool.clear();
        return;
    }
    if (outcome == HostOrderOutcome::Unknown) {
        host.notBefore = now + unknownOrderPause;
        return;
    }
    host.away = false;
    host.notBefore = now + refusedOrderPause;
    host.reservedForPool.clear();
}

// Moves

std::map<std::string, unsigned> HostPlanner::presentHosts() const
{
    std::map<std::string, unsigned> present;
    for (const auto &[id, host] : m_hosts) {
        const bool usable = host.away || host.description.phase == HostPhase::Up
                            || host.description.phase == HostPhase::Moving;
        if (usable && host.reservedForWave == 0)
            ++present[host.description.pool];
    }
    return present;
}

void HostPlanner::observeDemand(TimePoint now, const JobScheduler &scheduler,
                                const JobConfiguration &configuration)
{
    std::map<std::string, TaskSize> sizes;
    TaskSize anySize;
    for (const auto &[id, host] : m_hosts) {
        sizes[host.description.pool] = host.description.capacity;
        anySize = host.description.capacity;
    }
    const auto loads = poolLoads(scheduler);
    for (const PoolSettings &pool : configuration.pools) {
        if (pool.spare)
            continue;
        const auto load = loads.find(pool.name);
        const auto size = sizes.find(pool.name);
        m_demand.observe(now, pool.name, load == loads.end() ? PoolLoad{} : load->second,
                         size == sizes.end() ? anySize : size->second);
    }
}

HostPlanner::Host *HostPlanner::donor(TimePoint now, const JobScheduler &scheduler,
                                      const std::string &pool)
{
    for (auto &[id, host] : m_hosts) {
        if (host.description.pool != pool || host.away || host.orderInFlight
            || host.reservedForWave != 0 || now < host.notBefore
            || host.description.phase != HostPhase::Up)
            continue;
        if (runsOn(host, scheduler) == 0)
            return &host;
    }
    return nullptr;
}

void HostPlanner::moveHost(TimePoint now, Host &host, const std::string &pool)
{
    order(now, host, {HostOrderKind::Move, host.description.id, pool, 0, m_epoch});
    host.description.pool = pool;
}

void HostPlanner::planMoves(TimePoint now, JobScheduler &scheduler,
                            const JobConfiguration &configuration)
{
    auto present = presentHosts();
    std::vector<std::string> spares;
    std::vector<std::string> surplus;
    for (const PoolSettings &pool : configuration.pools) {
        if (pool.spare)
            spares.push_back(pool.name);
        else if (present[pool.name] > std::max(1U, m_demand.wantedHosts(pool.name)))
            surplus.push_back(pool.name);
    }
    const auto takeFrom = [&](const std::vector<std::string> &pools, const std::string &target) {
        for (const std::string &pool : pools) {
            const bool spare = std::find(spares.begin(), spares.end(), pool) != spares.end();
            if (!spare && present[pool] <= std::max(1U, m_demand.wantedHosts(pool)))
                continue;
            Host *host = donor(now, scheduler, pool);
            if (host == nullptr || m_impossible.contains({host->description.id, target}))
                continue;
            --present[pool];
            ++present[target];
            moveHost(now, *host, target);
            return true;
        }
        return false;
    };
    for (const PoolSettings &pool : configuration.pools) {
        if (pool.spare)
            continue;
        while (present[pool.name] < m_demand.wantedHosts(pool.name)) {
            // Hosts that are on already cost nothing more.
            if (!takeFrom(surplus, pool.name) && !takeFrom(spares, pool.name))
                break;
        }
    }
    if (spares.empty())
        return;
    for (const std::string &pool : surplus) {
        while (takeFrom({pool}, spares.front()))
            continue;
    }
}

void HostPlanner::applyReservations(JobScheduler &scheduler) const
{
    for (const auto &[id, host] : m_hosts) {
        if (!host.description.worker.empty())
            scheduler.setReserved(host.description.worker, host.away || host.reservedForWave != 0);
    }
}

} // namespace Peridot::Jobs
