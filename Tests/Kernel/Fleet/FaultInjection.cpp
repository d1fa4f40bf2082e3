#include "FaultInjection.h"

#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/OperatorPlans.h>
#include <LibBase/Json.h>
#include <algorithm>
#include <fmt/format.h>

namespace Peridot {

namespace {

constexpr auto startTime = TimePoint(std::chrono::hours(1000));
constexpr auto faultDuration = std::chrono::seconds(40);
// Longer than a task lease, so that the tasks of isolated hosts are started on other hosts.
constexpr auto longIsolationDuration = std::chrono::seconds(400);
constexpr auto operatorDrainDuration = std::chrono::seconds(60);
constexpr unsigned settleTicks = 25;
constexpr unsigned maximumTicks = 900;
constexpr unsigned secondHolderTicks = 3;
constexpr std::size_t retainedViews = 4;
constexpr WorkerTiming workerTiming{std::chrono::milliseconds(500), std::chrono::seconds(2),
                                    std::chrono::seconds(8)};

} // namespace

FaultInjection::FaultInjection(const Scenario &scenario, Fault fault, std::vector<unsigned> steps,
                               std::uint64_t seed, DriverModifier modifyDriver)
    : m_scenario(scenario), m_fault(fault), m_faultSteps(std::move(steps)), m_seed(seed),
      m_modifyDriver(std::move(modifyDriver)), m_random(seed),
      m_fleet(scenario.before, workerTiming), m_checker(scenario.before, m_table, m_fleet),
      m_manifest(std::make_shared<Manifest>(scenario.before)), m_now(startTime)
{
    m_fleet.behaviourOf = [](const std::string &job) {
        TaskBehaviour behaviour;
        behaviour.usage = {0.5, 1, 0};
        if (job.starts_with("batch"))
            behaviour.runTime = std::chrono::seconds(20);
        return behaviour;
    };
    m_leaseHolder = makeDriver();
}

std::unique_ptr<FleetDriver> FaultInjection::makeDriver()
{
    auto driver
        = std::make_unique<FleetDriver>(fmt::format("instance-{}", ++m_createdDrivers), m_table,
                                        m_fleet, FleetDriver::standardReconcilers());
    if (m_modifyDriver)
        m_modifyDriver(*driver);
    driver->setManifest(m_manifest, m_version);
    driver->acquireLeases(m_now);
    driver->readReports(m_now);
    return driver;
}

void FaultInjection::check(const std::string &event)
{
    if (!m_violation.empty())
        return;
    const auto violation = m_checker.check(m_now);
    if (!violation.empty())
        m_violation
            = fmt::format("{} (scenario={} fault={} seed={} step={} event={})", violation,
                          m_scenario.name, faultNames.nameOf(m_fault), m_seed, m_step, event);
}

void FaultInjection::commit(FleetDriver &driver, const Transaction &transaction)
{
    const bool holdsLease = [&] {
        const auto context = driver.context(m_now);
        return std::all_of(context.leases.begin(), context.leases.end(), [&](const auto &entry) {
            return m_table.read(rowKey(leasePrefix, entry.first)).version
                   == entry.second.rowVersion;
        });
    }();
    const auto result = driver.commit(transaction, m_now);
    if (result.status == CommitStatus::Committed && !holdsLease && m_violation.empty())
        m_violation = fmt::format(
            "a former lease holder changed rows (scenario={} fault={} seed={} "
            "step={} operation={})",
            m_scenario.name, faultNames.nameOf(m_fault), m_seed, m_step, transaction.operationId);
    check(transaction.operationId);
}

void FaultInjection::tick(TimePoint::duration length)
{
    m_now += length;
    m_fleet.advance(m_now);
    check("tick");
}

void FaultInjection::replaceLeaseHolder()
{
    m_leaseHolder = makeDriver();
}

bool FaultInjection::inject(const std::vector<Transaction> &transactions, std::size_t index)
{
    const auto &transaction = transactions[index];
    switch (m_fault) {
    case Fault::None:
        return true;
    case Fault::CrashBeforeCommit:
        replaceLeaseHolder();
        return false;
    case Fault::CrashAfterCommit:
        commit(*m_leaseHolder, transaction);
        replaceLeaseHolder();
        return false;
    case Fault::AnswerLost:
        m_table.commit(transaction);
        check(transaction.operationId);
        m_leaseHolder->readRows(m_now);
        return false;
    case Fault::StaleView: {
        m_leaseHolder->setView(m_previousViews.front());
        for (const auto &plan : m_leaseHolder->plan(m_now)) {
            m_fleet.deliver(plan.commands, m_now);
            for (const auto &stale : plan.transactions)
                commit(*m_leaseHolder, stale);
        }
        m_leaseHolder->setManifest(m_manifest, m_version);
        m_leaseHolder->readRows(m_now);
        return false;
    }
    case Fault::PausedHolder: {
        auto paused = std::move(m_leaseHolder);
        replaceLeaseHolder();
        for (unsigned count = 0; count < secondHolderTicks; ++count) {
            tick();
            m_leaseHolder->pass(m_now);
            check("second holder");
        }
        for (auto late = index; late < transactions.size(); ++late)
            commit(*paused, transactions[late]);
        for (const auto &plan : paused->plan(m_now)) {
            m_fleet.deliver(plan.commands, m_now);
            for (const auto &late : plan.transactions)
                commit(*paused, late);
        }
        m_leaseHolder->readRows(m_now);
        return false;
    }
    case Fault::SecondHolder: {
        auto former = std::move(m_leaseHolder);
        replaceLeaseHolder();
        for (const auto &plan : m_leaseHolder->plan(m_now)) {
            m_fleet.deliver(plan.commands, m_now);
            for (const auto &concurrent : plan.transactions) {
                commit(*former, transaction);
                commit(*m_leaseHolder, concurrent);
            }
        }
        commit(*former, transaction);
        return false;
    }
    case Fault::SlowCommit:
        for (unsigned count = 0; count < 20; ++count)
            tick();
        commit(*m_leaseHolder, transaction);
        return false;
    case Fault::OperatorRace:
        commitOperatorCommand();
        return true;
    case Fault::HostsFail:
    case Fault::HostsIsolated:
        makeHostsUnavailable(m_fault == Fault::HostsIsolated);
        return true;
    }
    return true;
}

void FaultInjection::commitOperatorCommand()
{
    auto operatorView = m_leaseHolder->view();
    const OperatorCommand command{fmt::format("operator-{}", m_step), "operator", "test", m_now};
    const auto &host = m_manifest->hosts[m_random.below(m_manifest->hosts.size())].name;
    const auto &pool = m_manifest->pools[m_random.below(m_manifest->pools.size())].name;
    const auto choice = m_random.below(5);
    valueOrElse(
        [&]() -> Result<int> {
            Transaction transaction;
            if (choice == 0) {
                BOOST_LEAF_ASSIGN(transaction, planOperatorDrain(operatorView, host, command));
            } else if (choice == 1) {
                BOOST_LEAF_ASSIGN(transaction, planOperatorUndrain(operatorView, host, command));
            } else {
                constexpr std::array commands{WaveCommand::Pause, WaveCommand::Abort,
                                              WaveCommand::Start};
                BOOST_LEAF_ASSIGN(transaction, planWaveCommand(operatorView, pool,
                                                               commands[choice - 2], command));
            }
            m_table.commit(transaction);
            return 0;
        },
        [](const Error &) { return 0; });
    m_faultEnd = m_now + faultDuration;
    check("operator");
}

void FaultInjection::makeHostsUnavailable(bool isolate)
{
    // Affects one random host or all hosts of its rack, but never more than one rack.
    const auto &first = m_manifest->hosts[m_random.below(m_manifest->hosts.size())];
    const bool all = m_random.below(2) == 0;
    for (const auto &host : m_manifest->hosts) {
        if (host.name != first.name && (!all || host.rack != first.rack))
            continue;
        auto &worker = m_fleet.workers.at(host.name);
        if (isolate)
            worker.isolate(true);
        else
            worker.fail(m_now);
    }
    const bool isLong = isolate && m_random.below(3) == 0;
    m_faultEnd = m_now + (isLong ? longIsolationDuration : faultDuration);
}

void FaultInjection::endFaults(bool force)
{
    if (!m_faultEnd || (m_now < *m_faultEnd && !force))
        return;
    m_faultEnd.reset();
    m_goalCheckRevision = 0;
    for (auto &[name, worker] : m_fleet.workers) {
        worker.isolate(false);
        worker.recover();
    }
    for (const auto &row : m_table.scan(std::string(drainRequestPrefix)))
        m_table.commit({{}, {}, {{row.key, std::nullopt}}});
    m_leaseHolder->readRows(m_now);
    for (const auto &pool : m_manifest->pools) {
        for (const auto command : {WaveCommand::Resume, WaveCommand::Start}) {
            valueOrElse(
                [&]() -> Result<int> {
                    BOOST_LEAF_AUTO(transaction,
                                    planWaveCommand(m_leaseHolder->view(), pool.name, command,
                                                    {"resume", "operator", "test", m_now}));
                    if (m_scenario.wave && !transaction.writes.empty())
                        m_leaseHolder->commit(transaction, m_now);
                    return 0;
                },
                [](const Error &) { return 0; });
        }
    }
}

void FaultInjection::runPassWithFaults()
{
    m_leaseHolder->readRows(m_now);
    m_leaseHolder->readReports(m_now);
    if (m_fault == Fault::StaleView)
        m_previousViews.push_back(m_leaseHolder->view());
    if (m_previousViews.size() > retainedViews)
        m_previousViews.pop_front();
    for (const auto &plan : m_leaseHolder->plan(m_now)) {
        m_fleet.deliver(plan.commands, m_now);
        for (std::size_t index = 0; index < plan.transactions.size(); ++index) {
            ++m_step;
            const bool injectHere
                = std::find(m_faultSteps.begin(), m_faultSteps.end(), m_step) != m_faultSteps.end();
            if (injectHere && !inject(plan.transactions, index))
                return;
            commit(*m_leaseHolder, plan.transactions[index]);
        }
    }
}

void FaultInjection::settle()
{
    for (unsigned count = 0; count < settleTicks; ++count) {
        tick();
        runPassWithFaults();
    }
}

void FaultInjection::applyScenario()
{
    m_manifest = std::make_shared<Manifest>(m_scenario.after);
    ++m_version;
    m_checker.setManifest(*m_manifest);
    m_leaseHolder->setManifest(m_manifest, m_version);
    const OperatorCommand command{"begin", "operator", "test", m_now};
    for (const auto &pool : m_manifest->pools) {
        if (m_scenario.wave)
            m_leaseHolder->commit(
                planWaveCommand(m_leaseHolder->view(), pool.name, WaveCommand::Start, command)
                    .value(),
                m_now);
    }
    for (const auto &host : m_scenario.drained)
        m_leaseHolder->commit(planOperatorDrain(m_leaseHolder->view(), host, command).value(),
                              m_now);
}

bool FaultInjection::reachedGoal()
{
    if (m_faultEnd || m_table.revision() == m_goalCheckRevision)
        return false;
    m_goalCheckRevision = m_table.revision();
    for (const auto &host : m_manifest->hosts) {
        const auto row = m_table.read(rowKey(hostPrefix, host.name));
        const auto record = parseJson(row.value).value();
        if (record["state"] != "active" || record["pool"] != host.pool
            || record["generation"].asUInt64() < m_manifest->maintenance.generation)
            return false;
    }
    for (const auto &row : m_table.scan(std::string(jobPrefix))) {
        const auto state = parseJson(row.value).value()["state"].asString();
        if (state != "running" && state != "finished")
            return false;
    }
    return true;
}

std::string FaultInjection::state() const
{
    std::string text;
    for (const auto prefix : {hostPrefix, poolPrefix, jobPrefix}) {
        for (const auto &row : m_table.scan(std::string(prefix)))
            text += row.value + "\n";
    }
    return text;
}

std::string FaultInjection::run()
{
    settle();
    applyScenario();
    const auto drainEnd = m_now + operatorDrainDuration;
    bool drainsWithdrawn = m_scenario.drained.empty();
    for (unsigned count = 0; count < maximumTicks && m_violation.empty(); ++count) {
        tick();
        endFaults(false);
        if (!drainsWithdrawn && m_now >= drainEnd) {
            drainsWithdrawn = true;
            for (const auto &host : m_scenario.drained)
                m_table.commit({{}, {}, {{rowKey(drainRequestPrefix, host), std::nullopt}}});
        }
        runPassWithFaults();
        if (drainsWithdrawn && m_violation.empty() && reachedGoal())
            return {};
    }
    if (m_violation.empty())
        m_violation = fmt::format("the goal was not reached (scenario={} fault={} seed={} step={})",
                                  m_scenario.name, faultNames.nameOf(m_fault), m_seed, m_step);
    return m_violation;
}

} // namespace Peridot
