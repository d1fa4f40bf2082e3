#include "FleetChecker.h"

#include <LibBase/Json.h>
#include <algorithm>

namespace Peridot {

namespace {

// The platform and the fleet process may take this long to notice a host that is down: five seconds
// until it is in doubt, and the interval of passes.
constexpr Duration noticeDelay = std::chrono::seconds(7);

// Three seconds until routing knows, and the deadline of the services in the fixture.
constexpr Duration serverDrainTime = std::chrono::seconds(13);

// Sums of fractions, in cores and GB.
constexpr double quotaRounding = 1e-6;

bool isPlannedAbsence(const std::string &state)
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
        m_serving[server.host] = true;
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
        auto &[version, value] = m_parsed[row.key];
        if (version != row.version)
            value = std::make_shared<const Json::Value>(parseJson(row.value).value());
        version = row.version;
        result[row.key.substr(prefix.size())] = value;
    }
    return result;
}

void FleetChecker::noteWorkers(TimePoint now)
{
    for (auto &[name, worker] : m_fleet.workers) {
        const auto seen = worker.report(now).lastSeen;
        if (now - seen < std::chrono::seconds(2))
            m_unreachableSince.erase(name);
        else
            m_unreachableSince.try_emplace(name, seen);
        for (const auto &task : worker.takeFinished())
            ++m_finished[task];
    }
}

std::string FleetChecker::check(TimePoint now)
{
    noteWorkers(now);
    auto workers = checkWorkers();
    if (!workers.empty() || m_table.revision() == m_checkedRevision)
        return workers;
    m_checkedRevision = m_table.revision();
    const auto hosts = rows("host/");
    const auto pools = rows("pool/");
    auto violation = checkLedgers(hosts, pools);
    m_admitted = m_admitted || hosts.size() == m_hostCount;
    if (violation.empty() && m_admitted && hosts.size() != m_hostCount)
        violation = "the number of host rows changed";
    if (violation.empty())
        violation = checkNewPermits(hosts, pools, now);
    if (violation.empty())
        violation = checkDrainTimes(hosts, now);
    if (violation.empty())
        violation = checkNewPlacements(hosts);
    if (violation.empty())
        violation = checkQuotas();
    m_formerPools = pools;
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
                return "host " + name + " is counted twice";
            if (!hosts.contains(name) || (*hosts.at(name))["pool"].asString() != pool)
                return std::string("pool ")
                    .append(pool)
                    .append(" counts host ")
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
                return "active host " + name + " is counted as unavailable";
            continue;
        }
        if (!pools.contains(pool))
            return "host " + name + " is in a pool without a ledger";
        const auto &ledger = pools.at(pool);
        if (isPlannedAbsence(state) && !(*ledger)["permits"].isMember(name))
            return std::string("host ").append(name).append(" is ").append(state).append(
                " without a permit");
        if ((state == "failed" || state == "quarantined")
            && !(*ledger)["unavailable"].isMember(name))
            return std::string("host ").append(name).append(" is ").append(state).append(
                " and not counted");
        if (state == "returning" && !ledgerOf.contains(name))
            return "host " + name + " is returning and not counted";
    }
    return {};
}

std::string FleetChecker::checkNewPermits(const Rows &hosts, const Rows &pools, TimePoint now) const
{
    for (const auto &[pool, ledger] : pools) {
        const auto former = m_formerPools.find(pool);
        bool granted = false;
        for (const auto &name : (*ledger)["permits"].getMemberNames()) {
            const bool counted = former != m_formerPools.end()
                                 && ((*former->second)["permits"].isMember(name)
                                     || (*former->second)["unavailable"].isMember(name));
            granted = granted || !counted;
        }
        if (!granted)
            continue;
        std::size_t absent = 0;
        for (const auto &[name, host] : hosts) {
            if ((*host)["pool"].asString() != pool || contains((*ledger)["arrivals"], name))
                continue;
            const auto unreachable = m_unreachableSince.find(name);
            const bool dark = unreachable != m_unreachableSince.end()
                              && now - unreachable->second > noticeDelay;
            absent += (*host)["state"].asString() != "active" || dark ? 1 : 0;
        }
        if (absent > m_budgets.at(pool))
            return "pool " + pool + " granted a permit beyond its budget";
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
        const bool stops = state == "drained" || state == "rebooting";
        if (stops && m_serving[name] && now - start->second < serverDrainTime)
            return "host " + name + " stopped while requests may be in flight";
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
            if (host == hosts.end() || epoch == std::exchange(m_epochs[name], epoch))
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
        if (sum.processors > quota.processors + quotaRounding
            || sum.memoryGigabytes > quota.memoryGigabytes + quotaRounding
            || sum.accelerators > quota.accelerators)
            return "the tasks of team " + team + " hold more than its quota";
    }
    return {};
}

std::string FleetChecker::checkWorkers()
{
    std::map<std::string, std::string> executing;
    for (const auto &[name, worker] : m_fleet.workers) {
        if (worker.cutTasks() > 0)
            return "worker " + name + " rebooted with tasks executing";
        if (worker.commandedReboots() > m_allowedReboots)
            return "worker " + name + " was rebooted twice for one wave";
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
    for (const auto &[task, count] : m_finished) {
        if (count > 1)
            return "task " + task + " finished twice";
    }
    return {};
}

} // namespace Peridot
