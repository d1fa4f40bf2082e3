#pragma once

#include "FleetChecker.h"

namespace Peridot {

/// What happens to one proposed transaction.
enum class CommitFault {
    None,
    Refused, ///< surely not applied
    AnswerLost, ///< applied; the process does not learn of it
};

/// Several fleet processes that share the pools of one fleet, in virtual time. In each step every
/// process plans before any of them commits. The invariants are checked after each transaction and
/// each step.
class FleetTrial
{
public:
    using Breakage = std::function<void(FleetDriver &)>;

    explicit FleetTrial(const Manifest &manifest, std::size_t processes = 1,
                        Breakage breakage = {});

    void apply(const Manifest &manifest);
    void step(Duration interval = std::chrono::seconds(1));
    void run(Duration length, Duration interval = std::chrono::seconds(1));
    /// Returns whether \a reached became true within \a limit and without a violation.
    bool runUntil(const std::function<bool()> &reached, Duration limit,
                  Duration interval = std::chrono::seconds(1));

    /// The process is replaced by a new one without leases.
    void restart(std::size_t process);
    /// The process plans once more, and commits what it planned when it goes on.
    void freeze(std::size_t process, Duration length);
    /// The process plans from rows that it does not read again for \a length.
    void readStale(std::size_t process, Duration length);

    /// Every task of every job of the manifest executes or has finished, and nothing else executes.
    bool allWorkRuns();
    /// Every host of the manifest is active in its pool and at the maintenance generation.
    bool allHostsServe() const;

    TimePoint now() const { return m_now; }
    const Manifest &manifest() const { return *m_manifest; }
    FakeTable &table() { return m_table; }
    FakeWorker &worker(const std::string &host) { return m_fleet.workers.at(host); }
    FakeFleet &fleet() { return m_fleet; }
    /// View of the first process, read now.
    const FleetView &view();
    std::size_t processes() const { return m_processes.size(); }
    /// Empty without a violation.
    const std::string &violation() const { return m_violation; }
    std::string state() const;

    JobRecord job(const std::string &name) const;
    HostRecord host(const std::string &name) const;
    bool hasJobRow(const std::string &name) const;
    unsigned executing(const std::string &job) const;

    std::function<CommitFault()> faultOfCommit;

private:
    struct Process
    {
        std::unique_ptr<FleetDriver> driver;
        TimePoint frozenUntil;
        TimePoint staleUntil;
        std::vector<FleetPlan> planned;
    };

    std::unique_ptr<FleetDriver> makeDriver();
    void assignLeases();
    void plan(Process &process);
    void commit(Process &process);
    void check(const std::string &event);

    std::shared_ptr<const Manifest> m_manifest;
    std::uint64_t m_version = 1;
    Breakage m_breakage;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetChecker m_checker;
    std::vector<Process> m_processes;
    std::map<std::string, std::size_t> m_holders; ///< process that acts for each pool
    TimePoint m_now;
    std::size_t m_steps = 0;
    std::uint64_t m_started = 0;
    std::string m_violation;
};

} // namespace Peridot
