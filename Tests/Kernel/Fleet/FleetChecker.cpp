#include "FleetChecker.h"

#include <LibBase/Json.h>
#include <algorithm>

namespace Peridot {

namespace {

// Longest time until the fleet process treats a host that is down as unavailable: five seconds
// until the host is in doubt, and the interval between passes.
constexpr Duration failureDetectionDelay = std::chrono::seconds(7);

// Shortest drain of a host with back-end servers: three seconds until the new routing table is in
// force, and then the request deadline of the services in the fixture.
constexpr Duration serverDrainDuration = std::chrono::seconds(13);

// Tolerance for rounding errors in sums of fractions, in cores and GB.
constexpr double quotaTolerance = 1e-6;

bool requiresPermit(const std::string &state)
{
    return state == "draining" || state == "drained" || state == "rebooting";
}

bool contains(const Json::Value &list, const std::string &name)
{
    for (const auto &entry : list) {
        if (entry.asString() == name)
            return true;
    }
    return false;
}

} // namespace

FleetChecker::FleetChecker(const Manifest &manifest, const FakeTable &table, FakeFleet &fleet)
    : m_table(table), m_fleet(fleet)
{
    setManifest(manifest);
}

void FleetChecker::setManifest(const Manifest &manifest)
{
    for (const auto &pool : manifest.pools)
        m_budgets[pool.name] = pool.availabilityBudget;
    for (const auto &server : manifest.backendServers)
        m_hasBackendServer[server.host] = true;
    for (const auto &team : manifest.teams)
        m_quotas[team.name] = team.quota;
    for (const auto &job : manifest.jobs)
        m_taskSizes[job.name] = job.taskSize;
    m_allowedReboots
        = std::max(m_allowedReboots, static_cast<unsigned>(manifest.maintenance.generation));
    m_hostCount = manifest.hosts.size();
}

FleetChecker::Rows FleetChecker::rows(const std::string &prefix)
{
    Rows result;
    for (const auto &row : m_table.scan(prefix)) {
        auto &[version, value] = m_parsedRows[row.key];
        if (version != row.version)
            value = std::make_shared<const Json::Value>(parseJson(row.value).value());
        version = row.version;
        result[row.key.substr(prefix.size())] = value;
    }
    return result;
}

void FleetChecker::recordWorkerStates(TimePoint now)
{
    for (auto &[name, worker] : m_fleet.workers) {
        const auto lastSeen = worker.report(now).lastSeen;
        if (now - lastSeen < std::chrono::seconds(2))
            m_unreachableSince.erase(name);
        else
            m_unreachableSince.try_emplace(name, lastSeen);
        for (const auto &task : worker.takeFinished())
            ++m_finishCounts[task];
    }
}

std::string FleetChecker::check(TimePoint now)
{
    recordWorkerStates(now);
    auto workers = checkWorkers();
    if (!workers.empty() || m_table.revision() == m_checkedRevision)
        return workers;
    m_checkedRevision = m_table.revision();
    const auto hosts = rows("host/");
    const auto pools = rows("pool/");
    auto violation = checkLedgers(hosts, pools);
    m_allHostsRegistered = m_allHostsRegistered || hosts.size() == m_hostCount;
    if (violation.empty() && m_allHostsRegistered && hosts.size() != m_hostCount)
        violation = "the number of host rows changed";
    if (violation.empty())
        violation = checkNewPermits(hosts, pools, now);
    if (violation.empty())
        violation = checkDrainTimes(hosts, now);
    if (violation.empty())
        violation = checkNewPlacements(hosts);
    if (violation.empty())
        violation = checkQuotas();
    m_previousPools = pools;
    return violation;
}

std::string FleetChecker::checkLedgers(const Rows &hosts, const Rows &pools) const
{
    std::map<std::string, std::string> ledgerOf;
    for (const auto &[pool, ledger] : pools) {
        auto names = (*ledger)["permits"].getMemberNames();
        for (const auto &name : (*ledger)["unavailable"].getMemberNames())
            names.push_back(name);
        for (const auto &name : (*ledger)["arrivals"])
            names.push_back(name.asString());
        for (const auto &name : names) {
            if (!ledgerOf.emplace(name, pool).second)
                return "host " + name + " is listed more than once in the pool ledgers";
            if (!hosts.contains(name) || (*hosts.at(name))["pool"].asString() != pool)
                return std::string("pool ")
                    .append(pool)
                    .append(" lists host ")
                    .append(name)
                    .append(" of another pool");
        }
        if ((*ledger)["permits"].size() > m_budgets.at(pool))
            return "pool " + pool + " has more permits than its budget";
    }
    for (const auto &[name, host] : hosts) {
        const auto state = (*host)["state"].asString();
        const auto pool = (*host)["pool"].asString();
        if (state == "active") {
            if (ledgerOf.contains(name))
                return "active host " + name + " is listed in a pool ledger";
            continue;
        }
        if (!pools.contains(pool))
            return "host " + name + " is in a pool without a ledger";
        const auto &ledger = pools.at(pool);
        if (requiresPermit(state) && !(*ledger)["permits"].isMember(name))
            return std::string("host ").append(name).append(" is ").append(state).append(
                " without a permit");
        if ((state == "failed" || state == "quarantined")
            && !(*ledger)["unavailable"].isMember(name))
            return std::string("host ").append(name).append(" is ").append(state).append(
                " but not listed as unavailable in the pool ledger");
        if (state == "returning" && !ledgerOf.contains(name))
            return "host " + name + " is returning but not listed in a pool ledger";
    }
    return {};
}

std::string FleetChecker::checkNewPermits(const Rows &hosts, const Rows &pools, TimePoint now) const
{
    for (const auto &[pool, ledger] : pools) {
        const auto previous = m_previousPools.find(pool);
        bool granted = false;
        for (const auto &name : (*ledger)["permits"].getMemberNames()) {
            const bool counted = previous != m_previousPools.end()
                                 && ((*previous->second)["permits"].isMember(name)
                                     || (*previous->second)["unavailable"].isMember(name));
            granted = granted || !counted;
        }
        if (!granted)
            continue;
        std::size_t unavailableHosts = 0;
        for (const auto &[name, host] : hosts) {
            if ((*host)["pool"].asString() != pool || contains((*ledger)["arrivals"], name))
                continue;
            const auto unreachable = m_unreachableSince.find(name);
            const bool isUnreachable = unreachable != m_unreachableSince.end()
                                       && now - unreachable->second > failureDetectionDelay;
            unavailableHosts += (*host)["state"].asString() != "active" || isUnreachable ? 1 : 0;
        }
        if (unavailableHosts > m_budgets.at(pool))
            return "pool " + pool + " granted a permit beyond its availability budget";
    }
    return {};
}

std::string FleetChecker::checkDrainTimes(const Rows &hosts, TimePoint now)
{
    for (const auto &[name, host] : hosts) {
        const auto state = (*host)["state"].asString();
        if (state == "draining") {
            m_drainStart.try_emplace(name, now);
            continue;
        }
        const auto start = m_drainStart.find(name);
        if (start == m_drainStart.end())
            continue;
        const bool isStopped = state == "drained" || state == "rebooting";
        if (isStopped && m_hasBackendServer[name] && now - start->second < serverDrainDuration)
            return "host " + name + " stopped before requests in flight could end";
        m_drainStart.erase(start);
    }
    return {};
}

std::string FleetChecker::checkNewPlacements(const Rows &hosts)
{
    for (const auto &[job, row] : rows("job/")) {
        unsigned index = 0;
        for (const auto &task : (*row)["tasks"]) {
            const auto name = job + "/" + std::to_string(index++);
            const auto host = hosts.find(task["host"].asString());
            const auto epoch = task["epoch"].asUInt64();
            if (host == hosts.end() || epoch == std::exchange(m_lastEpochs[name], epoch))
                continue;
            if ((*host->second)["state"] != "active")
                return "task " + name + " was placed on host " + host->first
                       + ", which is not active";
        }
    }
    return {};
}

std::string FleetChecker::checkQuotas()
{
    std::map<std::string, Resources> held;
    for (const auto &[job, row] : rows("job/")) {
        auto &team = held[(*row)["team"].asString()];
        const auto &size = m_taskSizes[job];
        for (const auto &task : (*row)["tasks"]) {
            if (task["host"].asString().empty())
                continue;
            team.processors += size.processors;
            team.memoryGigabytes += size.memoryGigabytes;
            team.accelerators += size.accelerators;
        }
    }
    for (const auto &[team, sum] : held) {
        const auto &quota = m_quotas[team];
        if (sum.processors > quota.processors + quotaTolerance
            || sum.memoryGigabytes > quota.memoryGigabytes + quotaTolerance
            || sum.accelerators > quota.accelerators)
            return "the tasks of team " + team + " exceed its quota";
    }
    return {};
}

std::string FleetChecker::checkWorkers()
{
    std::map<std::string, std::string> executing;
    for (const auto &[name, worker] : m_fleet.workers) {
        if (worker.cutTasks() > 0)
            return "worker " + name + " rebooted while it executed tasks";
        if (worker.commandedReboots() > m_allowedReboots)
            return "worker " + name + " was rebooted more than once for a maintenance generation";
        for (const auto &task : worker.executingTasks()) {
            const auto [other, inserted] = executing.emplace(task, name);
            if (!inserted)
                return std::string("task ")
                    .append(task)
                    .append(" executes on ")
                    .append(name)
                    .append(" and ")
                    .append(other->second);
        }
    }
    for (const auto &[task, count] : m_finishCounts) {
        if (count > 1)
            return "task " + task + " finished twice";
    }
    return {};
}

} // namespace Peridot
