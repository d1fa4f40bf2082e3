#include "FleetSimulation.h"

#include <Kernel/Fleet/FleetKeys.h>
#include <algorithm>
#include <fmt/format.h>

namespace Peridot {

namespace {

constexpr auto startTime = TimePoint(std::chrono::hours(1000));

// Duration of the lease of a pool. A process that will be paused for longer loses its leases at
// once instead of at their end. It then commits more outdated transactions than with a real lease.
constexpr Duration poolLeaseDuration = std::chrono::seconds(10);

constexpr WorkerTiming workerTiming{std::chrono::milliseconds(100), std::chrono::milliseconds(400),
                                    std::chrono::seconds(8)};

} // namespace

FleetSimulation::FleetSimulation(const Manifest &manifest, std::size_t processes,
                                 DriverModifier modifyDriver)
    : m_manifest(std::make_shared<Manifest>(manifest)), m_modifyDriver(std::move(modifyDriver)),
      m_fleet(manifest, workerTiming), m_checker(manifest, m_table, m_fleet), m_now(startTime)
{
    m_processes.resize(processes);
    for (auto &process : m_processes)
        process.driver = makeDriver();
    m_fleet.advance(m_now);
    assignLeases();
}

std::unique_ptr<FleetDriver> FleetSimulation::makeDriver()
{
    auto driver
        = std::make_unique<FleetDriver>(fmt::format("instance-{}", ++m_createdDrivers), m_table,
                                        m_fleet, FleetDriver::standardReconcilers());
    if (m_modifyDriver)
        m_modifyDriver(*driver);
    driver->setManifest(m_manifest, m_version);
    driver->readRows(m_now);
    return driver;
}

void FleetSimulation::assignLeases()
{
    std::size_t next = 0;
    for (const auto &pool : m_manifest->pools) {
        const auto preferred = next++ % m_processes.size();
        const auto losesLease = [&](std::size_t index) {
            return m_now + poolLeaseDuration < m_processes[index].pausedUntil;
        };
        const auto current = m_leaseHolders.find(pool.name);
        if (current != m_leaseHolders.end() && !losesLease(current->second))
            continue;
        for (std::size_t count = 0; count < m_processes.size(); ++count) {
            const auto index = (preferred + count) % m_processes.size();
            if (losesLease(index))
                continue;
            m_leaseHolders[pool.name] = index;
            m_processes[index].driver->acquireLease(pool.name);
            break;
        }
    }
}

void FleetSimulation::apply(const Manifest &manifest)
{
    m_manifest = std::make_shared<Manifest>(manifest);
    ++m_version;
    m_checker.setManifest(manifest);
    for (auto &process : m_processes) {
        if (m_now >= process.pausedUntil)
            process.driver->setManifest(m_manifest, m_version);
    }
}

void FleetSimulation::check(const std::string &event)
{
    if (!m_violation.empty())
        return;
    m_violation = m_checker.check(m_now);
    if (!m_violation.empty())
        m_violation += fmt::format(" (step={} event={})", m_steps, event);
}

void FleetSimulation::plan(Process &process)
{
    auto &driver = *process.driver;
    if (m_now >= process.staleUntil) {
        driver.dropLostLeases();
        driver.setManifest(m_manifest, m_version);
        driver.readRows(m_now);
    }
    driver.readReports(m_now);
    process.planned = driver.plan(m_now);
}

void FleetSimulation::commit(Process &process)
{
    for (const auto &plan : std::exchange(process.planned, {})) {
        m_fleet.deliver(plan.commands, m_now);
        for (const auto &transaction : plan.transactions) {
            const auto fault = nextCommitFault ? nextCommitFault() : CommitFault::None;
            if (fault == CommitFault::None)
                process.driver->commit(transaction, m_now);
            else if (fault == CommitFault::AnswerLost)
                m_table.commit(transaction);
            check(transaction.operationId);
        }
    }
}

void FleetSimulation::step(Duration interval)
{
    ++m_steps;
    m_now += interval;
    m_fleet.advance(m_now);
    check("tick");
    assignLeases();
    for (auto &process : m_processes) {
        // A process that was paused first commits the transactions that it planned before.
        if (m_now >= process.pausedUntil && process.planned.empty())
            plan(process);
    }
    for (std::size_t count = 0; count < m_processes.size(); ++count) {
        auto &process = m_processes[(m_steps + count) % m_processes.size()];
        if (m_now >= process.pausedUntil)
            commit(process);
    }
}

void FleetSimulation::run(Duration length, Duration interval)
{
    runUntil([] { return false; }, length, interval);
}

bool FleetSimulation::runUntil(const std::function<bool()> &condition, Duration limit,
                               Duration interval)
{
    const auto end = m_now + limit;
    while (m_violation.empty()) {
        if (condition())
            return true;
        if (m_now >= end)
            return false;
        step(interval);
    }
    return false;
}

void FleetSimulation::restart(std::size_t process)
{
    m_processes[process] = {makeDriver(), {}, {}, {}};
    for (auto &[pool, holder] : m_leaseHolders) {
        if (holder == process)
            m_processes[process].driver->acquireLease(pool);
    }
}

void FleetSimulation::pause(std::size_t process, Duration length)
{
    plan(m_processes[process]);
    m_processes[process].pausedUntil = m_now + length;
}

void FleetSimulation::useStaleRows(std::size_t process, Duration length)
{
    m_processes[process].staleUntil = m_now + length;
}

bool FleetSimulation::jobsMatchManifest()
{
    std::set<std::string> expected;
    for (const auto &specification : m_manifest->jobs) {
        if (!hasJobRow(specification.name))
            return false;
        const auto record = job(specification.name);
        if (record.tasks.size() != specification.tasks)
            return false;
        for (std::size_t index = 0; index < record.tasks.size(); ++index) {
            const auto &task = record.tasks[index];
            const auto name = taskName(record.name, index);
            if (task.phase == TaskPhase::Finished)
                continue;
            if (task.phase != TaskPhase::Placed || !worker(task.host).isExecuting(name))
                return false;
            expected.insert(name);
        }
    }
    std::size_t executing = 0;
    for (const auto &[name, worker] : m_fleet.workers)
        executing += worker.executingTasks().size();
    return executing == expected.size()
           && m_table.scan(std::string(jobPrefix)).size() == m_manifest->jobs.size();
}

bool FleetSimulation::hostsMatchManifest() const
{
    return std::all_of(
        m_manifest->hosts.begin(), m_manifest->hosts.end(), [&](const auto &specification) {
            const auto record = host(specification.name);
            return record.state == HostState::Active && record.pool == specification.pool
                   && record.generation >= m_manifest->maintenance.generation;
        });
}

const FleetView &FleetSimulation::view()
{
    m_processes.front().driver->readRows(m_now);
    return m_processes.front().driver->view();
}

std::string FleetSimulation::state() const
{
    std::string text;
    for (const auto prefix : {hostPrefix, poolPrefix, jobPrefix, placementPrefix, teamPrefix}) {
        for (const auto &row : m_table.scan(std::string(prefix)))
            text += row.key + " " + row.value + "\n";
    }
    return text;
}

JobRecord FleetSimulation::job(const std::string &name) const
{
    return parseJobRecord(m_table.read(rowKey(jobPrefix, name)).value).value();
}

HostRecord FleetSimulation::host(const std::string &name) const
{
    return parseHostRecord(m_table.read(rowKey(hostPrefix, name)).value).value();
}

bool FleetSimulation::hasJobRow(const std::string &name) const
{
    return m_table.read(rowKey(jobPrefix, name)).version != absentVersion;
}

unsigned FleetSimulation::executingTaskCount(const std::string &job) const
{
    unsigned count = 0;
    for (const auto &[name, worker] : m_fleet.workers) {
        for (const auto &task : worker.executingTasks())
            count += task.starts_with(job + "/") ? 1 : 0;
    }
    return count;
}

} // namespace Peridot
