#include <FleetFake/FleetDriver.h>

#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/PlacementPolicy.h>
#include <fmt/format.h>

namespace Peridot {

namespace {

constexpr std::uint64_t driverSeed = 7;

constexpr std::array rowPrefixes{hostPrefix, poolPrefix,      jobPrefix,
                                 teamPrefix, placementPrefix, drainRequestPrefix};

} // namespace

FakeFleet::FakeFleet(const Manifest &manifest, WorkerTiming timing)
{
    for (const auto &host : manifest.hosts)
        workers.emplace(host.name, FakeWorker(host.name, timing));
}

void FakeFleet::advance(TimePoint now)
{
    for (auto &[name, worker] : workers)
        worker.advance(now);
}

std::vector<HostReport> FakeFleet::reports(TimePoint now) const
{
    std::vector<HostReport> result;
    result.reserve(workers.size());
    for (const auto &[name, worker] : workers)
        result.push_back(worker.report(now));
    return result;
}

void FakeFleet::deliver(const std::vector<WorkerCommand> &commands, TimePoint now)
{
    for (const auto &command : commands) {
        const auto worker = workers.find(command.host);
        if (worker != workers.end())
            worker->second.receive(
                command, behaviourOf(command.task.substr(0, command.task.rfind('/'))), now);
    }
}

FleetDriver::FleetDriver(std::string instance, FakeTable &table, FakeFleet &fleet,
                         Reconcilers reconcilers)
    : m_instance(std::move(instance)), m_table(table), m_fleet(fleet),
      m_reconcilers(std::move(reconcilers)), m_random(driverSeed)
{
}

FleetDriver::Reconcilers FleetDriver::standardReconcilers(const std::string &placementPolicy,
                                                          WaveOrder order)
{
    Reconcilers reconcilers;
    reconcilers.push_back(ReconcilerRegistry::create("host-admission").value());
    reconcilers.push_back(makeMaintenanceReconciler(order));
    reconcilers.push_back(ReconcilerRegistry::create("move").value());
    reconcilers.push_back(makePlacementReconciler(placementPolicy).value());
    return reconcilers;
}

void FleetDriver::setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version)
{
    m_view.setManifest(std::move(manifest), version);
}

void FleetDriver::acquireLeases(TimePoint now)
{
    m_leases.clear();
    readRows(now);
    for (const auto &pool : m_view.poolNames())
        acquireLease(pool);
    readRows(now);
}

void FleetDriver::acquireLease(const std::string &pool)
{
    const auto name = poolLeaseName(pool);
    const auto key = rowKey(leasePrefix, name);
    const auto former = m_table.read(key).value;
    const std::uint64_t epoch = former.empty() ? 1 : std::stoull(former) + 1;
    const auto version = m_table.put(key, std::to_string(epoch));
    m_leases[name] = {name, epoch, version, TimePoint::max()};
}

void FleetDriver::dropLostLeases()
{
    std::erase_if(m_leases, [&](const auto &entry) {
        return m_table.read(rowKey(leasePrefix, entry.first)).version != entry.second.rowVersion;
    });
}

void FleetDriver::readRows(TimePoint now)
{
    std::map<std::string, Row> present;
    for (const auto prefix : rowPrefixes) {
        auto rows = m_table.scan(std::string(prefix));
        if (changeRows)
            changeRows(rows);
        for (auto &row : rows)
            present.emplace(row.key, std::move(row));
    }
    std::vector<Row> rows;
    const auto addAbsent = [&](std::string_view prefix, const std::string &name) {
        const auto key = rowKey(prefix, name);
        if (!present.contains(key))
            rows.push_back({key, absentVersion, {}});
    };
    for (const auto &[name, host] : m_view.hosts()) {
        addAbsent(hostPrefix, name);
        addAbsent(drainRequestPrefix, name);
    }
    for (const auto &[name, pool] : m_view.pools())
        addAbsent(poolPrefix, name);
    for (const auto &[name, job] : m_view.jobs())
        addAbsent(jobPrefix, name);
    for (auto &[key, row] : present)
        rows.push_back(std::move(row));
    m_view.applyRows(rows, now).value();
}

void FleetDriver::readReports(TimePoint now)
{
    auto reports = m_fleet.reports(now);
    if (changeReports)
        changeReports(reports);
    m_view.applyReports(reports, now);
}

PlanContext FleetDriver::context(TimePoint now)
{
    return {now, m_instance, m_leases, &m_random};
}

std::vector<FleetPlan> FleetDriver::plan(TimePoint now)
{
    std::vector<FleetPlan> plans;
    for (const auto &reconciler : m_reconcilers) {
        plans.push_back(reconciler->plan(m_view, context(now)));
        if (changeTransaction) {
            for (auto &transaction : plans.back().transactions)
                changeTransaction(transaction);
        }
        if (changeCommands)
            changeCommands(plans.back().commands);
    }
    return plans;
}

CommitResult FleetDriver::commit(const Transaction &transaction, TimePoint now)
{
    auto result = m_table.commit(transaction);
    if (result.status == CommitStatus::Committed) {
        m_view.applyCommitted(transaction, result.revision, now).value();
    } else {
        std::vector<Row> rows;
        for (const auto &key : result.conflicts)
            rows.push_back(m_table.read(key));
        if (changeRows)
            changeRows(rows);
        m_view.applyRows(rows, now).value();
    }
    return result;
}

void FleetDriver::pass(TimePoint now)
{
    readReports(now);
    const auto transactionContext = context(now);
    for (const auto &reconciler : m_reconcilers) {
        auto plan = reconciler->plan(m_view, transactionContext);
        if (changeCommands)
            changeCommands(plan.commands);
        for (auto &transaction : plan.transactions) {
            if (changeTransaction)
                changeTransaction(transaction);
            commit(transaction, now);
        }
        m_fleet.deliver(plan.commands, now);
    }
}

} // namespace Peridot
