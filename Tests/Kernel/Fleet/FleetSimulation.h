#pragma once

#include "FleetChecker.h"

namespace Peridot {

/// Fault in the commit of a transaction.
enum class CommitFault {
    None,
    Refused, ///< The store does not apply the transaction.
    AnswerLost, ///< The store applies the transaction, but the process does not receive the answer.
};

/// Simulates several fleet processes that share the pools of one fleet, in virtual time. In each
/// step every process plans before any process commits. The invariants are checked after each
/// transaction and each step.
class FleetSimulation
{
public:
    /// Installs hooks in a driver, for instance those of a broken variant.
    using DriverModifier = std::function<void(FleetDriver &)>;

    explicit FleetSimulation(const Manifest &manifest, std::size_t processes = 1,
                             DriverModifier modifyDriver = {});

    /// Applies \a manifest in all processes. Paused processes see it when they continue.
    void apply(const Manifest &manifest);
    void step(Duration interval = std::chrono::seconds(1));
    void run(Duration length, Duration interval = std::chrono::seconds(1));
    /// Simulates steps until \a condition holds. Returns false after \a limit or a violation.
    bool runUntil(const std::function<bool()> &condition, Duration limit,
                  Duration interval = std::chrono::seconds(1));

    /// Replaces the process by a new one, which acquires the leases of the same pools.
    void restart(std::size_t process);
    /// Pauses the process for \a length between planning and commit: it plans now and commits these
    /// transactions when it continues.
    void pause(std::size_t process, Duration length);
    /// Lets the process plan for \a length from the rows that it has already read.
    void useStaleRows(std::size_t process, Duration length);

    /// Returns whether every task of every job of the manifest executes or has finished, and no
    /// other task executes.
    bool jobsMatchManifest();
    /// Returns whether every host of the manifest is active in its pool and at the maintenance
    /// generation.
    bool hostsMatchManifest() const;

    TimePoint now() const { return m_now; }
    const Manifest &manifest() const { return *m_manifest; }
    FakeTable &table() { return m_table; }
    FakeWorker &worker(const std::string &host) { return m_fleet.workers.at(host); }
    FakeFleet &fleet() { return m_fleet; }
    /// Reads the rows in the first process and returns its view.
    const FleetView &view();
    std::size_t processes() const { return m_processes.size(); }
    /// First violation of an invariant; empty when there is none.
    const std::string &violation() const { return m_violation; }
    /// Returns the host, pool, job, placement and team rows as text, for failure messages.
    std::string state() const;

    JobRecord job(const std::string &name) const;
    HostRecord host(const std::string &name) const;
    bool hasJobRow(const std::string &name) const;
    unsigned executingTaskCount(const std::string &job) const;

    /// Chooses the fault of each commit. When it is empty, no commit fails.
    std::function<CommitFault()> nextCommitFault;

private:
    struct Process
    {
        std::unique_ptr<FleetDriver> driver;
        TimePoint pausedUntil;
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
    DriverModifier m_modifyDriver;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetChecker m_checker;
    std::vector<Process> m_processes;
    std::map<std::string, std::size_t> m_leaseHolders; ///< Index of the process by pool.
    TimePoint m_now;
    std::size_t m_steps = 0;
    std::uint64_t m_createdDrivers = 0;
    std::string m_violation;
};

} // namespace Peridot
