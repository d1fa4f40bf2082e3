#include "FleetPlanner.h"

#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/PlacementPolicy.h>
#include <LibBase/Log.h>
#include <asio/post.hpp>
#include <utility>

namespace Peridot {

namespace {

constexpr std::size_t scanPage = 1000;

const std::vector<std::string> allPrefixes{
    std::string(hostPrefix), std::string(poolPrefix),      std::string(jobPrefix),
    std::string(teamPrefix), std::string(placementPrefix), std::string(drainRequestPrefix)};

// Rows that processes without the lease of a pool write: operators' wishes.
const std::vector<std::string> changedByOthers{std::string(poolPrefix),
                                               std::string(drainRequestPrefix)};

/// Runs \a done after \a count calls, or at once when there is nothing to wait for.
std::function<void()> whenAll(std::size_t count, std::function<void()> done)
{
    if (count == 0) {
        done();
        return [] {
        };
    }
    auto open = std::make_shared<std::size_t>(count);
    return [open, done = std::move(done)] {
        if (--*open == 0)
            done();
    };
}

} // namespace

FleetPlanner::FleetPlanner(asio::io_context &context, Store &store, PlatformClient &platform,
                           FleetPlannerSettings settings)
    : m_context(context), m_store(store), m_platform(platform), m_settings(std::move(settings)),
      m_timer(context), m_random(m_settings.seed)
{
}

Result<void> FleetPlanner::start()
{
    for (const auto &name : ReconcilerRegistry::names()) {
        if (name == "placement") {
            BOOST_LEAF_AUTO(placement, makePlacementReconciler(m_settings.placementPolicy));
            m_reconcilers.push_back(std::move(placement));
        } else {
            BOOST_LEAF_AUTO(reconciler, ReconcilerRegistry::create(name));
            m_reconcilers.push_back(std::move(reconciler));
        }
    }
    asio::post(m_context, [this] { beginPass(); });
    return {};
}

void FleetPlanner::setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version)
{
    m_view.setManifest(std::move(manifest), version);
}

void FleetPlanner::setLeases(std::map<std::string, HeldLease> leases)
{
    m_leases = std::move(leases);
}

std::map<std::string, HeldLease> FleetPlanner::activeLeases() const
{
    std::map<std::string, HeldLease> active;
    for (const auto &[name, lease] : m_leases) {
        const auto scanned = m_scannedEpochs.find(name);
        if (now() < lease.end && scanned != m_scannedEpochs.end()
            && scanned->second == lease.fencingEpoch)
            active[name] = lease;
    }
    return active;
}

void FleetPlanner::schedule(Duration delay)
{
    m_timer.runAfter(delay, [this] { beginPass(); });
}

void FleetPlanner::beginPass()
{
    if (m_stopped)
        return;
    if (!m_view.manifest()) {
        schedule(m_settings.planPeriod);
        return;
    }
    ++m_counters.passes;
    const bool acquired = std::any_of(m_leases.begin(), m_leases.end(), [&](const auto &entry) {
        const auto scanned = m_scannedEpochs.find(entry.first);
        return scanned == m_scannedEpochs.end() || scanned->second != entry.second.fencingEpoch;
    });
    m_scanned.clear();
    m_epochsAtScan.clear();
    if (acquired || now() >= m_nextFullScan) {
        for (const auto &[name, lease] : m_leases)
            m_epochsAtScan[name] = lease.fencingEpoch;
        scan(allPrefixes, 0, {});
    } else if (now() >= m_nextChangeScan) {
        scan(changedByOthers, 0, {});
    } else {
        readReports();
    }
}

void FleetPlanner::scan(std::vector<std::string> prefixes, std::size_t index,
                        const std::string &startAfter)
{
    if (index == prefixes.size()) {
        scanFinished(prefixes);
        return;
    }
    const std::string prefix = prefixes[index];
    m_store.scan(prefix, startAfter, scanPage,
                 [this, prefixes = std::move(prefixes), index](const ReadResult &result) mutable {
                     if (result.status != ReadStatus::Ok) {
                         schedule(m_settings.planPeriod);
                         return;
                     }
                     m_scanned.insert(m_scanned.end(), result.rows.begin(), result.rows.end());
                     if (result.more && !result.rows.empty())
                         scan(std::move(prefixes), index, result.rows.back().key);
                     else
                         scan(std::move(prefixes), index + 1, {});
                 });
}

void FleetPlanner::scanFinished(const std::vector<std::string> &prefixes)
{
    const auto absent = m_view.absentRows(m_scanned, prefixes);
    m_scanned.insert(m_scanned.end(), absent.begin(), absent.end());
    apply(m_scanned);
    m_nextChangeScan = now() + m_settings.changeScan;
    if (prefixes.size() == allPrefixes.size()) {
        m_nextFullScan = now() + m_settings.fullScan;
        m_scannedEpochs = m_epochsAtScan;
    }
    readReports();
}

void FleetPlanner::apply(const std::vector<Row> &rows)
{
    for (const auto &row : rows) {
        if (row.version == absentVersion || row.key.compare(0, hostPrefix.size(), hostPrefix) != 0)
            continue;
        const auto *host = m_view.host(row.key.substr(hostPrefix.size()));
        if (!host || !host->record || row.version <= host->version)
            continue;
        valueOrElse(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(record, parseHostRecord(row.value));
                m_counters.hostMoves += record.pool != host->record->pool ? 1 : 0;
                return 0;
            },
            [](const Error &) { return 0; });
    }
    valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(m_view.applyRows(rows, now()));
            return 0;
        },
        [](const Error &error) {
            logEvent(LogLevel::Error, "fleet-row-malformed", {{"error", describe(error)}});
            return 0;
        });
}

void FleetPlanner::applyCommitResult(const Transaction &transaction, const CommitResult &result,
                                     std::function<void()> done)
{
    if (result.status == CommitStatus::Committed) {
        std::vector<Row> rows;
        for (const auto &write : transaction.writes) {
            if (write.value)
                rows.push_back({write.key, result.revision, *write.value});
        }
        apply(rows);
        valueOrElse(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(m_view.applyCommitted(transaction, result.revision, now()));
                return 0;
            },
            [](const Error &) { return 0; });
        ++m_counters.committed;
        done();
        return;
    }
    if (result.status == CommitStatus::Unavailable) {
        ++m_counters.unavailable;
        done();
        return;
    }
    const bool conflict = result.status == CommitStatus::Conflict;
    ++(conflict ? m_counters.conflicts : m_counters.unknown);
    std::vector<std::string> keys = conflict ? result.conflicts : std::vector<std::string>();
    if (!conflict) {
        for (const auto &write : transaction.writes)
            keys.push_back(write.key);
    }
    refresh(keys, std::move(done));
}

void FleetPlanner::refresh(const std::vector<std::string> &keys, std::function<void()> done)
{
    m_store.read(keys, [this, done = std::move(done)](const ReadResult &read) {
        if (read.status == ReadStatus::Ok)
            apply(read.rows);
        done();
    });
}

std::vector<std::string> FleetPlanner::hostsOfHeldPools() const
{
    std::set<std::string> hosts;
    for (const auto &[name, pool] : m_view.pools()) {
        if (m_leases.count(poolLeaseName(name)) != 0)
            hosts.merge(m_view.observedHosts(name));
    }
    return {hosts.begin(), hosts.end()};
}

void FleetPlanner::readReports()
{
    if (now() < m_nextReports) {
        plan(0);
        return;
    }
    m_nextReports = now() + m_settings.reportPeriod;
    m_platform.listHosts([this](const PlatformReply<HostList> &reply) {
        if (reply.error) {
            logEvent(LogLevel::Warning, "host-list-unavailable",
                     {{"error", describe(*reply.error)}});
            plan(0);
            return;
        }
        std::map<std::string, HostReport> listed;
        for (const auto &report : reply.value.hosts)
            listed[report.host] = report;
        readWorkers(std::move(listed));
    });
}

void FleetPlanner::readWorkers(std::map<std::string, HostReport> listed)
{
    // The list has no tasks. It is completed with the last report of the worker itself, unless the
    // worker was rebooted since.
    for (auto &[name, report] : listed) {
        const auto full = m_workerReports.find(name);
        if (full != m_workerReports.end() && full->second.bootCount == report.bootCount)
            report.tasks = full->second.tasks;
    }
    const auto hosts = hostsOfHeldPools();
    auto reports = std::make_shared<std::map<std::string, HostReport>>(std::move(listed));
    const TimePoint received = now();
    const auto done = whenAll(hosts.size(), [this, reports, received] {
        std::vector<HostReport> all;
        for (auto &[name, report] : *reports)
            all.push_back(std::move(report));
        m_view.applyReports(all, received);
        plan(0);
    });
    for (const auto &host : hosts) {
        m_platform.report(host,
                          [this, reports, done, host](const PlatformReply<HostReport> &reply) {
                              if (!reply.error) {
                                  m_workerReports[host] = reply.value;
                                  (*reports)[host] = reply.value;
                              }
                              done();
                          });
    }
}

void FleetPlanner::plan(std::size_t index)
{
    if (m_stopped)
        return;
    if (index == 0)
        m_commands.clear();
    if (index == m_reconcilers.size()) {
        sendCommands();
        schedule(m_settings.planPeriod);
        return;
    }
    const PlanContext context{now(), m_settings.instance, activeLeases(), &m_random};
    if (context.leases.empty()) {
        plan(m_reconcilers.size());
        return;
    }
    FleetPlan planned = m_reconcilers[index]->plan(m_view, context);
    m_commands.insert(m_commands.end(), planned.commands.begin(), planned.commands.end());
    const auto transactions
        = std::make_shared<std::vector<Transaction>>(std::move(planned.transactions));
    const auto done = whenAll(transactions->size(), [this, index] {
        asio::post(m_context, [this, index] { plan(index + 1); });
    });
    for (const auto &transaction : *transactions) {
        m_store.commit(transaction, [this, transaction, done](const CommitResult &result) {
            applyCommitResult(transaction, result, done);
        });
    }
}

void FleetPlanner::sendCommands()
{
    for (const auto &command : m_commands) {
        ++m_counters.commands;
        m_platform.command(command, [command](const PlatformReply<CommandReply> &reply) {
            if (reply.error)
                logEvent(LogLevel::Warning, "worker-command-failed",
                         {{"host", command.host},
                          {"kind", workerCommandKindNames.nameOf(command.kind)},
                          {"task", command.task},
                          {"error", describe(*reply.error)}});
        });
    }
}

} // namespace Peridot
