#include <Kernel/Fleet/FleetView.h>

#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/FleetTiming.h>
#include <algorithm>
#include <cstdlib>
#include <unordered_set>

namespace Peridot {

namespace {

// Number of remembered deletions after which all are forgotten. They are needed only to ignore rows
// that were read before the deletion, so a bounded number is sufficient.
constexpr std::size_t maximumRememberedDeletions = 10000;

template <typename Map>
auto *findIn(const Map &map, const std::string &name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

template <typename Record, typename Parser>
Result<std::optional<Record>> parseOptional(const Row &row, Parser parser)
{
    if (row.value.empty())
        return std::optional<Record>();
    BOOST_LEAF_AUTO(record, parser(row.value));
    return std::optional<Record>(std::move(record));
}

void addResources(Resources &sum, const Resources &part, bool add)
{
    const double sign = add ? 1 : -1;
    sum.processors += sign * part.processors;
    sum.memoryGigabytes += sign * part.memoryGigabytes;
    sum.accelerators = add ? sum.accelerators + part.accelerators
                           : sum.accelerators - std::min(sum.accelerators, part.accelerators);
}

} // namespace

const FleetView::Host *FleetView::host(const std::string &name) const
{
    return findIn(m_hosts, name);
}

const FleetView::Pool *FleetView::pool(const std::string &name) const
{
    return findIn(m_pools, name);
}

const FleetView::Job *FleetView::job(const std::string &name) const
{
    return findIn(m_jobs, name);
}

const FleetView::Team *FleetView::team(const std::string &name) const
{
    return findIn(m_teams, name);
}

std::optional<FleetView::TaskReference> FleetView::task(const std::string &name) const
{
    const auto slash = name.rfind('/');
    if (slash == std::string::npos)
        return std::nullopt;
    const auto *job = this->job(name.substr(0, slash));
    const auto index = std::strtoul(name.c_str() + slash + 1, nullptr, 10);
    if (!job || !job->record || index >= job->record->tasks.size())
        return std::nullopt;
    return TaskReference{&*job->record, static_cast<unsigned>(index)};
}

std::vector<std::string> FleetView::poolNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, pool] : m_pools) {
        if (pool.specification || !pool.hosts.empty() || !pool.jobs.empty())
            names.push_back(name);
    }
    return names;
}

std::set<std::string> FleetView::observedHosts(const std::string &pool) const
{
    const Pool *entry = this->pool(pool);
    if (!entry)
        return {};
    std::set<std::string> hosts = entry->hosts;
    hosts.insert(entry->unadmittedHosts.begin(), entry->unadmittedHosts.end());
    for (const auto &name : entry->jobs) {
        const Job *job = this->job(name);
        if (!job || !job->record)
            continue;
        for (const auto &task : job->record->tasks) {
            if (!task.host.empty())
                hosts.insert(task.host);
        }
    }
    return hosts;
}

const std::set<std::string> &FleetView::domainHosts(const std::string &dataCentre,
                                                    const std::string &rack) const
{
    static const std::set<std::string> none;
    const auto found = m_domains.find(dataCentre + "/" + rack);
    return found == m_domains.end() ? none : found->second;
}

std::set<std::string> FleetView::takeChangedPools()
{
    return std::exchange(m_changedPools, {});
}

bool FleetView::isSuspected(const Host &host, TimePoint now) const
{
    if (!host.report || now - host.reportReceived > reportStaleAfter)
        return true;
    return host.report->liveness == HostLiveness::Gone
           || host.reportReceived - host.report->lastSeen > suspectAfter;
}

Result<void> FleetView::applyRows(const std::vector<Row> &rows, TimePoint observed)
{
    std::optional<Error> firstError;
    for (const auto &row : rows) {
        valueOrElse(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(applyRow(row, observed));
                return 0;
            },
            [&](const Error &error) {
                if (!firstError)
                    firstError = Error{error.code, row.key + "/" + error.field, error.detail};
                return 0;
            });
    }
    if (firstError)
        return makeError(firstError->code, firstError->field, firstError->detail);
    return {};
}

std::vector<Row> FleetView::absentRows(const std::vector<Row> &scanned,
                                       const std::vector<std::string> &prefixes) const
{
    std::unordered_set<std::string_view> present;
    for (const auto &row : scanned)
        present.insert(row.key);
    std::vector<Row> absent;
    const auto addUnlessPresent = [&](std::string_view prefix, const std::string &name) {
        auto key = rowKey(prefix, name);
        if (present.count(key) == 0)
            absent.push_back({std::move(key), absentVersion, {}});
    };
    for (const std::string_view prefix : prefixes) {
        for (const auto &[name, host] : m_hosts) {
            if ((prefix == hostPrefix && host.record)
                || (prefix == drainRequestPrefix && host.drainRequest))
                addUnlessPresent(prefix, name);
        }
        for (const auto &[name, pool] : m_pools) {
            if (prefix == poolPrefix && pool.record)
                addUnlessPresent(prefix, name);
        }
        for (const auto &[name, job] : m_jobs) {
            if (prefix == jobPrefix && job.record)
                addUnlessPresent(prefix, name);
        }
    }
    return absent;
}

Result<void> FleetView::applyCommitted(const Transaction &transaction, Version revision,
                                       TimePoint observed)
{
    std::vector<Row> rows;
    rows.reserve(transaction.writes.size());
    for (const auto &write : transaction.writes)
        rows.push_back({write.key, revision, write.value.value_or(std::string())});
    return applyRows(rows, observed);
}

Result<void> FleetView::applyRow(const Row &row, TimePoint observed)
{
    m_latestRevision = std::max(m_latestRevision, row.version);
    const auto slash = row.key.find('/');
    if (slash == std::string::npos)
        return {};
    const auto prefix = std::string_view(row.key).substr(0, slash + 1);
    const auto name = row.key.substr(slash + 1);
    if (const auto *deleted = findIn(m_deleted, row.key);
        deleted && row.version != absentVersion && row.version <= *deleted)
        return {};

    // Most rows of a periodic scan are unchanged and need not be parsed again.
    if (row.version != absentVersion && row.version <= cachedVersion(prefix, name))
        return {};

    if (prefix == hostPrefix) {
        BOOST_LEAF_AUTO(record, parseOptional<HostRecord>(row, parseHostRecord));
        applyHost(row, name, observed, std::move(record));
    } else if (prefix == poolPrefix) {
        BOOST_LEAF_AUTO(record, parseOptional<PoolRecord>(row, parsePoolRecord));
        applyPool(name, row.version, std::move(record));
    } else if (prefix == jobPrefix) {
        BOOST_LEAF_AUTO(record, parseOptional<JobRecord>(row, parseJobRecord));
        applyJob(name, row.version, std::move(record));
    } else if (prefix == teamPrefix) {
        BOOST_LEAF_AUTO(record, parseOptional<TeamRecord>(row, parseTeamRecord));
        auto &team = m_teams[name];
        team.record = record.value_or(TeamRecord{name, {}});
        team.version = record ? row.version : absentVersion;
    } else if (prefix == placementPrefix) {
        BOOST_LEAF_AUTO(record, parseOptional<PlacementRecord>(row, parsePlacementRecord));
        auto &pool = m_pools[name];
        pool.placement = record.value_or(PlacementRecord());
        pool.placementVersion = record ? row.version : absentVersion;
        m_changedPools.insert(name);
    } else if (prefix == drainRequestPrefix) {
        BOOST_LEAF_AUTO(record, parseOptional<DrainRequest>(row, parseDrainRequest));
        auto &host = m_hosts[name];
        host.drainRequest = std::move(record);
        host.drainRequestVersion = host.drainRequest ? row.version : absentVersion;
        markHostChanged(host);
    }
    if (row.value.empty() && row.version != absentVersion) {
        if (m_deleted.size() >= maximumRememberedDeletions)
            m_deleted.clear();
        m_deleted[row.key] = row.version;
    }
    return {};
}

Version FleetView::cachedVersion(std::string_view prefix, const std::string &name) const
{
    const auto versionOf = [&](const auto *entry, auto member) {
        return entry ? entry->*member : absentVersion;
    };
    if (prefix == hostPrefix)
        return versionOf(host(name), &Host::version);
    if (prefix == poolPrefix)
        return versionOf(pool(name), &Pool::version);
    if (prefix == jobPrefix)
        return versionOf(job(name), &Job::version);
    if (prefix == teamPrefix)
        return versionOf(team(name), &Team::version);
    if (prefix == placementPrefix)
        return versionOf(pool(name), &Pool::placementVersion);
    if (prefix == drainRequestPrefix)
        return versionOf(host(name), &Host::drainRequestVersion);
    return absentVersion;
}

void FleetView::markHostChanged(const Host &host)
{
    if (host.record)
        m_changedPools.insert(host.record->pool);
    else if (host.specification)
        m_changedPools.insert(host.specification->pool);
}

void FleetView::applyHost(const Row &row, const std::string &name, TimePoint observed,
                          std::optional<HostRecord> record)
{
    const auto version = row.version;
    auto &host = m_hosts[name];
    markHostChanged(host);
    if (host.record)
        m_pools[host.record->pool].hosts.erase(name);
    host.record = std::move(record);
    host.version = host.record ? version : absentVersion;
    host.observed = observed;
    if (host.record) {
        m_pools[host.record->pool].hosts.insert(name);
        m_domains[host.record->dataCentre + "/" + host.record->rack].insert(name);
        m_domains[host.record->dataCentre + "/"].insert(name);
    }
    if (host.specification) {
        auto &declared = m_pools[host.specification->pool].unadmittedHosts;
        if (host.record)
            declared.erase(name);
        else
            declared.insert(name);
    }
    markHostChanged(host);
}

void FleetView::applyPool(const std::string &name, Version version,
                          std::optional<PoolRecord> record)
{
    auto &pool = m_pools[name];
    pool.record = std::move(record);
    pool.version = pool.record ? version : absentVersion;
    m_changedPools.insert(name);
}

void FleetView::applyJob(const std::string &name, Version version, std::optional<JobRecord> record)
{
    auto &job = m_jobs[name];
    if (job.record)
        indexJob(*job.record, false);
    else if (job.specification)
        m_pools[job.specification->pool].jobs.erase(name);
    job.record = std::move(record);
    job.version = job.record ? version : absentVersion;
    if (job.record) {
        indexJob(*job.record, true);
    } else if (job.specification) {
        m_pools[job.specification->pool].jobs.insert(name);
        m_changedPools.insert(job.specification->pool);
    } else {
        m_jobs.erase(name);
    }
}

void FleetView::indexJob(const JobRecord &record, bool add)
{
    auto &pool = m_pools[record.pool];
    if (add)
        pool.jobs.insert(record.name);
    else
        pool.jobs.erase(record.name);
    m_changedPools.insert(record.pool);
    for (unsigned index = 0; index < record.tasks.size(); ++index)
        indexTask(record, index, add);
}

void FleetView::indexTask(const JobRecord &record, unsigned index, bool add)
{
    const auto &task = record.tasks[index];
    if (occupiesHost(task)) {
        auto &host = m_hosts[task.host];
        const bool changed = add ? host.tasks.emplace(record.name, index).second
                                 : host.tasks.erase({record.name, index}) > 0;
        if (changed)
            addResources(host.reserved, task.size, add);
        if (host.tasks.empty())
            host.reserved = {};
    }
    if (!task.failedHosts.empty()) {
        auto &failures = m_hosts[task.failedHosts.back()].failures;
        if (add)
            failures[record.name] = std::max(failures[record.name], task.failedAt);
        else
            failures.erase(record.name);
    }
}

void FleetView::applyReports(const std::vector<HostReport> &reports, TimePoint received)
{
    for (const auto &report : reports) {
        auto &host = m_hosts[report.host];
        if (host.report && received < host.reportReceived)
            continue;
        host.report = report;
        host.reportReceived = received;
        markHostChanged(host);
    }
}

} // namespace Peridot
