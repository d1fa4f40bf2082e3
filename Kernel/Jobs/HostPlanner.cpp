#include <Kernel/Jobs/HostPlanner.h>

#include <algorithm>
#include <cmath>
#include <limits>
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
// A pool that had no burst yet keeps this part of its first hosts ready, and a smaller one while
// another pool lacks hosts: the rest comes within two seconds of a burst.
constexpr unsigned readyDivisor = 2;
constexpr unsigned starvedDivisor = 3;
// Pools without a burst keep fewer hosts for this long after another pool lacked some.
constexpr std::chrono::milliseconds starvedDelay{1000};
// A host goes back to the spare pool when nobody had a use for it for so long. Each move costs as
// much as a second of an idle host, and the next burst needs the same time to get it from there.
constexpr std::chrono::milliseconds parkingDelay{1200};

} // namespace

HostPlanner::HostPlanner(std::uint64_t epoch, HostPlannerTiming timing, HostPlannerHooks hooks)
    : m_epoch(epoch), m_timing(timing), m_hooks(std::move(hooks))
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
    m_listed.clear();
    for (const auto &description : hosts)
        m_listed.emplace(description.id, description);
    std::map<std::string, Host> next;
    for (const auto &description : hosts) {
        const auto known = m_hosts.find(description.id);
        Host host = known == m_hosts.end() ? Host{} : std::move(known->second);
        // A list that was asked for before the last order does not show its effect.
        const bool shows = !host.away || (!host.orderInFlight && asked > host.orderedAt);
        const bool back = description.phase == HostPhase::Up && asked >= host.notBefore;
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

std::set<std::string> HostPlanner::existingWorkers() const
{
    std::set<std::string> workers;
    for (const auto &[id, host] : m_listed) {
        if (host.phase != HostPhase::Down && !host.worker.empty())
            workers.insert(host.worker);
    }
    return workers;
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

void HostPlanner::holdBack(const std::string &host, TimePoint time)
{
    m_heldBack[host] = time;
}

bool HostPlanner::mayOrder(TimePoint now, const Host &host) const
{
    const auto heldBack = m_heldBack.find(host.description.id);
    return !host.orderInFlight && now >= host.notBefore && host.description.phase == HostPhase::Up
           && (heldBack == m_heldBack.end() || now >= heldBack->second);
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
    if (m_firstHosts.empty()) {
        for (const auto &[id, host] : m_hosts)
            ++m_firstHosts[host.description.pool];
    }
    observeDemand(now, scheduler, configuration);
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
        if (host.away || !mayOrder(now, host))
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
    auto present = presentHosts();
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
        // A host without runs costs nobody anything, so it does not wait.
        const bool idle = runsOn(*host, scheduler) == 0;
        const std::string &pool = host->description.pool;
        const bool spared = present[pool] > m_demand.neededHosts(pool);
        if (taken >= (idle && spared ? wave.request.atOnce : wanted) || (!spared && !late))
            continue;
        host->reservedForWave = wave.request.number;
        host->lent = false;
        ++taken;
        --present[pool];
        observe("host-reserved", host->description.id,
                "wave " + std::to_string(wave.request.number));
    }
}

void HostPlanner::order(TimePoint now, Host &host, const HostOrder &order)
{
    observe(hostOrderKindNames.nameOf(order.kind), order.host,
            order.kind == HostOrderKind::Move ? order.pool : std::to_string(order.wave));
    host.orderInFlight = true;
    host.away = true;
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
        host.lent = false;
        return;
    }
    if (outcome == HostOrderOutcome::Unknown) {
        host.notBefore = now + unknownOrderPause;
        return;
    }
    host.away = false;
    host.notBefore = now + refusedOrderPause;
    host.lent = false;
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
    const auto loads = poolLoads(scheduler, m_demandObservedAt);
    m_demandObservedAt = now;
    auto present = presentHosts();
    for (const PoolSettings &pool : configuration.pools) {
        if (pool.spare)
            continue;
        const auto load = loads.find(pool.name);
        const auto size = sizes.find(pool.name);
        const unsigned before = m_demand.neededHosts(pool.name);
        const PoolLoad poolLoad = load == loads.end() ? PoolLoad{} : load->second;
        m_demand.observe(now, pool.name, poolLoad, size == sizes.end() ? anySize : size->second);
        const unsigned after = m_demand.neededHosts(pool.name);
        if (after > 0 && after >= m_firstHosts[pool.name])
            m_hadBurst.insert(pool.name);
        if (after != before)
            observe(
                "pool-demand", {},
                pool.name + ": " + std::to_string(after) + " hosts, active="
                    + std::to_string(poolLoad.active.milliProcessors / 1000) + " waiting="
                    + std::to_string(poolLoad.waiting.milliProcessors / 1000) + " work="
                    + std::to_string(static_cast<int>(poolLoad.waitingMilliProcessorSeconds / 1000))
                    + " present=" + std::to_string(present[pool.name]));
    }
}

void HostPlanner::noteIdleHosts(TimePoint now, const JobScheduler &scheduler)
{
    for (auto &[id, host] : m_hosts) {
        if (host.away || runsOn(host, scheduler) > 0)
            host.idleSince.reset();
        else if (!host.idleSince)
            host.idleSince = now;
    }
}

HostPlanner::Host *HostPlanner::donor(TimePoint now, const JobScheduler &scheduler,
                                      const std::string &pool, Duration idleFor)
{
    for (auto &[id, host] : m_hosts) {
        const bool free = !host.away && host.reservedForWave == 0 && mayOrder(now, host);
        if (!free || host.description.pool != pool || runsOn(host, scheduler) > 0)
            continue;
        if (host.idleSince && now >= *host.idleSince + idleFor)
            return &host;
    }
    return nullptr;
}

void HostPlanner::moveHost(TimePoint now, Host &host, const std::string &pool)
{
    order(now, host, {HostOrderKind::Move, host.description.id, pool, 0, m_epoch});
    host.description.pool = pool;
}

unsigned HostPlanner::readyHosts(TimePoint now, const PoolSettings &pool) const
{
    // A pool without a burst so far may be the next to have one, before other hosts can come.
    const auto first = m_firstHosts.find(pool.name);
    const bool due = !pool.spare && !m_hadBurst.contains(pool.name);
    if (!due || first == m_firstHosts.end())
        return 0;
    const unsigned divisor = now < m_starvedUntil ? starvedDivisor : readyDivisor;
    return (first->second + divisor - 1) / divisor;
}

unsigned HostPlanner::keptHosts(TimePoint now, const PoolSettings &pool, bool forGood) const
{
    if (pool.spare)
        return 0;
    const unsigned needed
        = forGood ? m_demand.lastingNeed(pool.name) : m_demand.neededHosts(pool.name);
    return std::max(needed + 1, readyHosts(now, pool));
}

bool HostPlanner::giveHost(TimePoint now, const JobScheduler &scheduler, const std::string &from,
                           const std::string &to, Duration idleFor)
{
    Host *host = donor(now, scheduler, from, idleFor);
    if (host == nullptr || m_impossible.contains({host->description.id, to}))
        return false;
    moveHost(now, *host, to);
    return true;
}

bool HostPlanner::hasLastingRuns(const Host &host, const JobScheduler &scheduler)
{
    const auto worker = scheduler.workers().find(host.description.worker);
    return worker != scheduler.workers().end()
           && std::any_of(worker->second.runs.begin(), worker->second.runs.end(),
                          [&](const auto &entry) { return scheduler.isLasting(entry.first.task); });
}

void HostPlanner::lendHosts(const std::string &pool, std::size_t count,
                            const JobScheduler &scheduler)
{
    std::vector<Host *> hosts;
    for (auto &[id, host] : m_hosts) {
        if (host.description.pool != pool)
            continue;
        const bool able = !host.away && host.reservedForWave == 0
                          && host.description.phase == HostPhase::Up
                          && !hasLastingRuns(host, scheduler);
        if (able)
            hosts.push_back(&host);
        else
            host.lent = false;
    }
    // Hosts that are lent already stay so, or none would ever become empty.
    std::stable_sort(hosts.begin(), hosts.end(), [&](const Host *left, const Host *right) {
        return std::make_pair(!left->lent, load(*left, scheduler))
               < std::make_pair(!right->lent, load(*right, scheduler));
    });
    for (std::size_t index = 0; index < hosts.size(); ++index)
        hosts[index]->lent = index < count;
}

bool HostPlanner::takeHost(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                           const std::string &target)
{
    // Hosts of pools that don't need them are on already; those of a spare pool are not.
    for (const PoolSettings *pool : plan.donors) {
        const unsigned kept = keptHosts(now, *pool, false);
        if (pool->name == target || plan.present[pool->name] <= kept
            || !giveHost(now, scheduler, pool->name, target, Duration{0}))
            continue;
        --plan.present[pool->name];
        ++plan.present[target];
        return true;
    }
    return false;
}

void HostPlanner::growPools(TimePoint now, const JobScheduler &scheduler, MovePlan &plan)
{
    for (const PoolSettings *pool : plan.donors) {
        if (pool->spare)
            continue;
        const unsigned needed = m_demand.neededHosts(pool->name);
        const unsigned wanted = std::max(needed, readyHosts(now, *pool));
        unsigned &present = plan.present[pool->name];
        while (present < wanted && takeHost(now, scheduler, plan, pool->name))
            continue;
        if (present < needed) {
            m_starvedUntil = now + starvedDelay;
            plan.missing += needed - present;
        }
    }
}

void HostPlanner::planMoves(TimePoint now, const JobScheduler &scheduler,
                            const JobConfiguration &configuration)
{
    noteIdleHosts(now, scheduler);
    MovePlan plan;
    plan.present = presentHosts();
    for (const PoolSettings &pool : configuration.pools)
        plan.donors.push_back(&pool);
    std::stable_partition(plan.donors.begin(), plan.donors.end(),
                          [](const PoolSettings *pool) { return !pool->spare; });
    growPools(now, scheduler, plan);
    for (const PoolSettings *pool : plan.donors) {
        const unsigned kept = keptHosts(now, *pool, false);
        const unsigned present = plan.present[pool->name];
        const std::size_t count
            = pool->spare ? 0
                          : std::min<std::size_t>(present - std::min(present, kept), plan.missing);
        lendHosts(pool->name, count, scheduler);
        plan.missing -= count;
    }
    if (!plan.donors.empty() && plan.donors.back()->spare)
        parkHosts(now, scheduler, plan, plan.donors.back()->name);
}

void HostPlanner::parkHosts(TimePoint now, const JobScheduler &scheduler, MovePlan &plan,
                            const std::string &sparePool)
{
    for (const PoolSettings *pool : plan.donors) {
        unsigned &present = plan.present[pool->name];
        while (!pool->spare && present > keptHosts(now, *pool, true)
               && giveHost(now, scheduler, pool->name, sparePool, parkingDelay))
            --present;
    }
}

void HostPlanner::applyReservations(JobScheduler &scheduler) const
{
    for (const auto &[id, host] : m_hosts) {
        if (!host.description.worker.empty())
            scheduler.setReserved(host.description.worker,
                                  host.away || host.lent || host.reservedForWave != 0);
    }
}

} // namespace Peridot::Jobs
