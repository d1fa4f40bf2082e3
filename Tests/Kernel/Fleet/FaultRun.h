#pragma once

#include "FleetChecker.h"
#include <LibBase/EnumTable.h>
#include <deque>

namespace Peridot {

enum class Fault {
    None,
    CrashBeforeCommit,
    CrashAfterCommit,
    AnswerLost,
    StaleView,
    PausedHolder, ///< commits late, after another holder took over
    SecondHolder, ///< plans and commits at the same moment
    SlowCommit, ///< takes effect 20 s after it was planned, under the same lease
    OperatorRace,
    HostsFail,
    HostsIsolated, ///< they go on executing tasks
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

struct Scenario
{
    std::string name;
    Manifest before;
    Manifest after; ///< applied when the fleet has settled
    bool wave = false; ///< start a wave in every pool with it
    std::vector<std::string> drained; ///< hosts that operators drain with it, and return later
};

/// Deliberately broken variant; its hooks are installed in every driver.
using Breakage = std::function<void(FleetDriver &)>;

/// One run of a scenario with one fault at given steps. A step is one proposed transaction.
class FaultRun
{
public:
    FaultRun(const Scenario &scenario, Fault fault, std::vector<unsigned> steps, std::uint64_t seed,
             Breakage breakage = {});

    /// Empty when the run reached its goal without a violation; otherwise what went wrong, with
    /// scenario, fault, seed and step.
    std::string run();
    unsigned steps() const { return m_step; }
    std::string state() const;

private:
    std::unique_ptr<FleetDriver> makeDriver();
    void settle();
    void begin();
    void tick(TimePoint::duration length = std::chrono::seconds(1));
    void passWithFaults();
    /// Returns false when the rest of the pass must not run.
    bool inject(const std::vector<Transaction> &transactions, std::size_t index);
    void commit(FleetDriver &driver, const Transaction &transaction);
    void replaceHolder();
    void operate();
    void disturbHosts(bool isolate);
    void endDisturbances(bool force);
    bool reachedGoal() const;
    void check(const std::string &event);

    Scenario m_scenario;
    Fault m_fault;
    std::vector<unsigned> m_faultSteps;
    std::uint64_t m_seed;
    Breakage m_breakage;
    RandomSource m_random;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetChecker m_checker;
    std::shared_ptr<const Manifest> m_manifest;
    std::uint64_t m_version = 1;
    std::unique_ptr<FleetDriver> m_holder;
    std::deque<FleetView> m_formerViews;
    TimePoint m_now;
    std::uint64_t m_holders = 0;
    unsigned m_step = 0;
    bool m_counting = false;
    std::optional<TimePoint> m_disturbanceEnd;
    std::string m_violation;
};

} // namespace Peridot
