#include "FleetTrial.h"

#include <Kernel/Fleet/FleetKeys.h>
#include <algorithm>
#include <fmt/format.h>

namespace Peridot {

namespace {

constexpr auto startTime = TimePoint(std::chrono::hours(1000));

// Lease of a pool. A process that is frozen for longer loses its pools at once, which leaves it
// more former plans to commit than a real lease would.
constexpr Duration poolLease = std::chrono::seconds(10);

constexpr WorkerTiming workerTiming{std::chrono::milliseconds(100), std::chrono::milliseconds(400),
                                    std::chrono::seconds(8)};

} // namespace

FleetTrial::FleetTrial(const Manifest &manifest, std::size_t processes, Breakage breakage)
    : m_manifest(std::make_shared<Manifest>(manifest)), m_breakage(std::move(breakage)),
      m_fleet(manifest, workerTiming), m_checker(manifest, m_table, m_fleet), m_now(startTime)
{
    m_processes.resize(processes);
    for (auto &process : m_processes)
        process.driver = makeDriver();
    m_fleet.advance(m_now);
    assignLeases();
}

std::unique_ptr<FleetDriver> FleetTrial::makeDriver()
{
    auto driver = std::make_unique<FleetDriver>(fmt::format("instance-{}", ++m_started), m_table,
                                                m_fleet, FleetDriver::standardReconcilers());
    if (m_breakage)
        m_breakage(*driver);
    driver->setManifest(m_manifest, m_version);
    driver->readRows(m_now);
    return driver;
}

void FleetTrial::assignLeases()
{
    std::size_t next = 0;
    for (const auto &pool : m_manifest->pools) {
        const auto preferred = next++ % m_processes.size();
        const auto isGone = [&](std::size_t index) {
            return m_now + poolLease < m_processes[index].frozenUntil;
        };
        const auto current = m_holders.find(pool.name);
        if (current != m_holders.end() && !isGone(current->second))
            continue;
        for (std::size_t count = 0; count < m_processes.size(); ++count) {
            const auto index = (preferred + count) % m_processes.size();
            if (isGone(index))
                continue;
            m_holders[pool.name] = index;
            m_processes[index].driver->acquireLease(pool.name);
            break;
        }
    }
}

void FleetTrial::apply(const Manifest &manifest)
{
    m_manifest = std::make_shared<Manifest>(manifest);
    ++m_version;
    m_checker.setManifest(manifest);
    for (auto &process : m_processes) {
        if (m_now >= process.frozenUntil)
            process.driver->setManifest(m_manifest, m_version);
    }
}

void FleetTrial::check(const std::string &event)
{
    if (!m_violation.empty())
        return;
    m_violation = m_checker.check(m_now);
    if (!m_violation.empty())
        m_violation += fmt::format(" (step={} event={})", m_steps, event);
}

void FleetTrial::plan(Process &process)
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

void FleetTrial::commit(Process &process)
{
    for (const auto &plan : std::exchange(process.planned, {})) {
        m_fleet.deliver(plan.commands, m_now);
        for (const auto &transaction : plan.transactions) {
            const auto fault = faultOfCommit ? faultOfCommit() : CommitFault::None;
            if (fault == CommitFault::None)
                process.driver->commit(transaction, m_now);
            else if (fault == CommitFault::AnswerLost)
                m_table.commit(transaction);
            check(transaction.operationId);
        }
    }
}

void FleetTrial::step(Duration interval)
{
    ++m_steps;
    m_now += interval;
    m_fleet.advance(m_now);
    check("tick");
    assignLeases();
    for (auto &process : m_processes) {
        // What was planned before a freeze is committed after it.
        if (m_now >= process.frozenUntil && process.planned.empty())
            plan(process);
    }
    for (std::size_t count = 0; count < m_processes.size(); ++count) {
        auto &process = m_processes[(m_steps + count) % m_processes.size()];
        if (m_now >= process.frozenUntil)
            commit(process);
    }
}

void FleetTrial::run(Duration length, Duration interval)
{
    runUntil([] { return false; }, length, interval);
}

bool FleetTrial::runUntil(const std::function<bool()> &reached, Duration limit, Duration interval)
{
    const auto end = m_now + limit;
    while (m_violation.empty()) {
        if (reached())
            return true;
        if (m_now >= end)
            return false;
        step(interval);
    }
    return false;
}

void FleetTrial::restart(std::size_t process)
{
    m_processes[process] = {makeDriver(), {}, {}, {}};
    for (auto &[pool, holder] : m_holders) {
        if (holder == process)
            m_processes[process].driver->acquireLease(pool);
    }
}

void FleetTrial::freeze(std::size_t process, Duration length)
{
    plan(m_processes[process]);
    m_processes[process].frozenUntil = m_now + length;
}

void FleetTrial::readStale(std::size_t process, Duration length)
{
    m_processes[process].staleUntil = m_now + length;
}

bool FleetTrial::allWorkRuns()
{
    std::set<std::string> wanted;
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
            wanted.insert(name);
        }
    }
    std::size_t executing = 0;
    for (const auto &[name, worker] : m_fleet.workers)
        executing += worker.executingTasks().size();
    return executing == wanted.size()
           && m_table.scan(std::string(jobPrefix)).size() == m_manifest->jobs.size();
}

bool FleetTrial::allHostsServe() const
{
    return std::all_of(
        m_manifest->hosts.begin(), m_manifest->hosts.end(), [&](const auto &specification) {
            const auto record = host(specification.name);
            return record.state == HostState::Active && record.pool == specification.pool
                   && record.generation >= m_manifest->maintenance.generation;
        });
}

const FleetView &FleetTrial::view()
{
    m_processes.front().driver->readRows(m_now);
    return m_processes.front().driver->view();
}

std::string FleetTrial::state() const
{
    std::string text;
    for (const auto prefix : {hostPrefix, poolPrefix, jobPrefix, placementPrefix, teamPrefix}) {
        for (const auto &row : m_table.scan(std::string(prefix)))
            text += row.key + " " + row.value + "\n";
    }
    return text;
}

JobRecord FleetTrial::job(const std::string &name) const
{
    return parseJobRecord(m_table.read(rowKey(jobPrefix, name)).value).value();
}

HostRecord FleetTrial::host(const std::string &name) const
{
    return parseHostRecord(m_table.read(rowKey(hostPrefix, name)).value).value();
}

bool FleetTrial::hasJobRow(const std::string &name) const
{
    return m_table.read(rowKey(jobPrefix, name)).version != absentVersion;
}

unsigned FleetTrial::executing(const std::string &job) const
{
    unsigned count = 0;
    for (const auto &[name, worker] : m_fleet.workers) {
        for (const auto &task : worker.executingTasks())
            count += task.starts_with(job + "/") ? 1 : 0;
    }
    return count;
}

} // namespace Peridot
