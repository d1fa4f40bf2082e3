#pragma once

#include "FleetChecker.h"
#include <LibBase/EnumTable.h>
#include <deque>

namespace Peridot {

enum class Fault {
    None,
    CrashBeforeCommit,
    CrashAfterCommit,
    AnswerLost, ///< The transaction is committed, but the process does not receive the answer.
    StaleView, ///< The process plans once from rows that it read some passes before.
    PausedHolder, ///< The holder commits late, after another process has taken its leases over.
    SecondHolder, ///< Two processes that consider themselves holders plan and commit together.
    SlowCommit, ///< The transaction commits 20 s after it was planned, under the same lease.
    OperatorRace, ///< An operator command is committed between planning and commit.
    HostsFail,
    HostsIsolated, ///< Hosts cannot be reached but go on executing tasks.
};

constexpr auto faultNames = makeEnumTable<Fault>({
    {Fault::None, "none"},
    {Fault::CrashBeforeCommit, "crash-before-commit"},
    {Fault::CrashAfterCommit, "crash-after-commit"},
    {Fault::AnswerLost, "answer-lost"},
    {Fault::StaleView, "stale-view"},
    {Fault::PausedHolder, "paused-holder"},
    {Fault::SecondHolder, "second-holder"},
    {Fault::SlowCommit, "slow-commit"},
    {Fault::OperatorRace, "operator-race"},
    {Fault::HostsFail, "hosts-fail"},
    {Fault::HostsIsolated, "hosts-isolated"},
});

/// Change of a fleet during which faults are injected.
struct Scenario
{
    std::string name;
    Manifest before;
    Manifest after; ///< Applied once the fleet has settled under the first manifest.
    bool wave = false; ///< Whether a wave is started in every pool when \a after is applied.
    /// Hosts that operators drain when \a after is applied, and undrain a minute later.
    std::vector<std::string> drained;
};

/// Installs hooks in a driver, for instance those of a broken variant.
using DriverModifier = std::function<void(FleetDriver &)>;

/// Simulates a scenario and injects one kind of fault at the given steps. The steps are the planned
/// transactions, counted from 1.
class FaultInjection
{
public:
    FaultInjection(const Scenario &scenario, Fault fault, std::vector<unsigned> steps,
                   std::uint64_t seed, DriverModifier modifyDriver = {});

    /// Returns an empty string when the scenario reached its goal without a violation; otherwise
    /// the violation, with scenario, fault, seed and step.
    std::string run();
    unsigned steps() const { return m_step; }
    /// Returns the host, pool and job rows as text, for failure messages.
    std::string state() const;

private:
    std::unique_ptr<FleetDriver> makeDriver();
    void settle();
    void applyScenario();
    void tick(TimePoint::duration length = std::chrono::seconds(1));
    void runPassWithFaults();
    /// Injects the fault at the transaction with \a index. Returns false when the rest of the pass
    /// must be skipped.
    bool inject(const std::vector<Transaction> &transactions, std::size_t index);
    void commit(FleetDriver &driver, const Transaction &transaction);
    void replaceLeaseHolder();
    void commitOperatorCommand();
    void makeHostsUnavailable(bool isolate);
    void endFaults(bool force);
    bool reachedGoal();
    void check(const std::string &event);

    Scenario m_scenario;
    Fault m_fault;
    std::vector<unsigned> m_faultSteps;
    std::uint64_t m_seed;
    DriverModifier m_modifyDriver;
    RandomSource m_random;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetChecker m_checker;
    std::shared_ptr<const Manifest> m_manifest;
    std::uint64_t m_version = 1;
    std::unique_ptr<FleetDriver> m_leaseHolder;
    std::deque<FleetView> m_previousViews;
    TimePoint m_now;
    std::uint64_t m_createdDrivers = 0;
    unsigned m_step = 0;
    Version m_goalCheckRevision = 0;
    std::optional<TimePoint> m_faultEnd;
    std::string m_violation;
};

} // namespace Peridot
