#include "PlacementStep.h"

#include "ResourceMath.h"
#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/FleetTiming.h>

namespace Peridot {

PlacementStep::PlacementStep(const FleetView &view, const PoolScope &scope)
    : m_view(view), m_scope(scope)
{
}

const JobRecord *PlacementStep::job(const std::string &name) const
{
    const auto changed = m_jobs.find(name);
    if (changed != m_jobs.end())
        return changed->second ? &*changed->second : nullptr;
    const auto *job = m_view.job(name);
    return job && job->record ? &*job->record : nullptr;
}

JobRecord &PlacementStep::changeJob(const std::string &name)
{
    auto [entry, inserted] = m_jobs.try_emplace(name);
    if (inserted)
        entry->second = m_view.job(name)->record;
    if (!entry->second)
        entry->second = JobRecord();
    return *entry->second;
}

void PlacementStep::removeJob(const std::string &name)
{
    m_jobs[name] = std::nullopt;
}

void PlacementStep::place(const std::string &job, unsigned index, const std::string &host,
                          const Resources &size, TimePoint now)
{
    auto &task = changeJob(job).tasks[index];
    task.phase = TaskPhase::Placed;
    task.host = host;
    ++task.epoch;
    task.since = now;
    task.leaseEnd = now + taskLease;
    task.size = size;
    m_hosts.insert(host);
}

Resources PlacementStep::recordedHolding(const std::string &name, const std::string &team) const
{
    const auto *entry = m_view.team(team);
    if (!entry)
        return {};
    const auto found = entry->record.held.find(name);
    return found == entry->record.held.end() ? Resources() : found->second;
}

Resources PlacementStep::declaredHolding(const std::string &name, const JobRecord &record) const
{
    const auto count = static_cast<unsigned>(
        std::count_if(record.tasks.begin(), record.tasks.end(), occupiesHost));
    const auto *job = m_view.job(name);
    if (job && job->specification)
        return times(job->specification->taskSize, count);
    return count > 0 ? recordedHolding(name, record.team) : Resources();
}

Resources PlacementStep::heldByTeam(const std::string &team)
{
    const auto [entry, inserted] = m_held.try_emplace(team);
    if (const auto *known = m_view.team(team); inserted && known) {
        for (const auto &[job, resources] : known->record.held)
            entry->second = plus(entry->second, resources);
    }
    auto held = entry->second;
    for (const auto &[name, record] : m_jobs) {
        if (!record || record->team != team)
            continue;
        held = plus(held, declaredHolding(name, *record));
        held = minus(held, recordedHolding(name, team));
    }
    return held;
}

void PlacementStep::addTeamWrites(Transaction &transaction) const
{
    std::map<std::string, TeamRecord> changed;
    const auto hold
        = [&](const std::string &team, const std::string &job, const Resources &resources) {
              if (recordedHolding(job, team) == resources)
                  return;
              const auto *entry = m_view.team(team);
              auto [record, inserted] = changed.try_emplace(team);
              if (inserted)
                  record->second = entry ? entry->record : TeamRecord{team, {}};
              if (resources == Resources())
                  record->second.held.erase(job);
              else
                  record->second.held[job] = resources;
          };
    for (const auto &[name, record] : m_jobs) {
        const auto &former = m_view.job(name)->record;
        if (former && (!record || former->team != record->team))
            hold(former->team, name, {});
        if (record)
            hold(record->team, name, declaredHolding(name, *record));
    }
    for (const auto &[team, record] : changed) {
        const auto key = rowKey(teamPrefix, team);
        const auto *entry = m_view.team(team);
        transaction.checks.push_back({key, entry ? entry->version : absentVersion});
        transaction.writes.push_back({key, encodeTeamRecord(record)});
    }
}

std::string PlacementStep::poolOfLoan(const std::string &task, const std::string &host) const
{
    const auto *entry = m_view.host(host);
    if (entry && entry->record)
        return entry->record->pool;
    // The row of the host was deleted. The loan is still recorded in the pool that lent it.
    for (const auto &[name, pool] : m_view.pools()) {
        if (pool.placement.loans.contains(task))
            return name;
    }
    return {};
}

void PlacementStep::collectLoans(const std::string &name, const std::optional<JobRecord> &record,
                                 std::map<std::string, Placements> &pools) const
{
    const auto &former = m_view.job(name)->record;
    const std::size_t count
        = std::max(former ? former->tasks.size() : 0, record ? record->tasks.size() : 0);
    for (std::size_t index = 0; index < count; ++index) {
        const auto hostIn = [&](const std::optional<JobRecord> &job) {
            return job && index < job->tasks.size() && occupiesHost(job->tasks[index])
                       ? job->tasks[index].host
                       : std::string();
        };
        const auto before = hostIn(former);
        const auto after = hostIn(record);
        if (before == after)
            continue;
        const auto task = taskName(name, index);
        if (!before.empty()) {
            const auto pool = poolOfLoan(task, before);
            const auto *lender = m_view.pool(pool);
            if (lender && lender->placement.loans.contains(task))
                pools[pool].returned.insert(task);
        }
        if (!after.empty()) {
            const auto pool = m_view.host(after)->record->pool;
            pools[pool].used = true;
            if (pool != m_scope.name)
                pools[pool].lent[task] = after;
        }
    }
}

void PlacementStep::addPlacementWrites(Transaction &transaction) const
{
    std::map<std::string, Placements> pools;
    for (const auto &[name, record] : m_jobs)
        collectLoans(name, record, pools);
    for (const auto &[name, placements] : pools) {
        const auto *pool = m_view.pool(name);
        auto record = pool->placement;
        ++record.sequence;
        for (const auto &task : placements.returned)
            record.loans.erase(task);
        for (const auto &[task, host] : placements.lent)
            record.loans[task] = host;
        const auto key = rowKey(placementPrefix, name);
        transaction.checks.push_back({key, pool->placementVersion});
        transaction.writes.push_back({key, encodePlacementRecord(record)});
    }
}

Transaction PlacementStep::transaction() const
{
    Transaction transaction;
    transaction.checks.push_back(leaseCheck(*m_scope.lease));
    for (const auto &[name, record] : m_jobs) {
        const auto key = rowKey(jobPrefix, name);
        transaction.checks.push_back({key, m_view.job(name)->version});
        transaction.writes.push_back(
            {key, record ? std::optional(encodeJobRecord(*record)) : std::nullopt});
    }
    for (const auto &host : m_hosts)
        transaction.checks.push_back({rowKey(hostPrefix, host), m_view.host(host)->version});
    addTeamWrites(transaction);
    addPlacementWrites(transaction);
    identifyOperation(transaction, "placement", m_scope.name);
    return transaction;
}

} // namespace Peridot
