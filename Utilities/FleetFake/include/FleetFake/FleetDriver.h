#pragma once

#include <FleetFake/FakeTable.h>
#include <FleetFake/FakeWorker.h>
#include <Kernel/Fleet/FleetView.h>
#include <Kernel/Fleet/Reconciler.h>
#include <Kernel/Fleet/WaveOrder.h>
#include <functional>
#include <memory>

namespace Peridot {

/// The workers of a fleet and the behaviour of jobs on them.
struct FakeFleet
{
    std::map<std::string, FakeWorker> workers;
    std::function<TaskBehaviour(const std::string &job)> behaviourOf = [](const std::string &) {
        return TaskBehaviour();
    };

    explicit FakeFleet(const Manifest &manifest, WorkerTiming timing = {});
    void advance(TimePoint now);
    std::vector<HostReport> reports(TimePoint now) const;
    void deliver(const std::vector<WorkerCommand> &commands, TimePoint now);
};

/// One fleet process without sockets: view, leases and reconcilers against a FakeTable.
class FleetDriver
{
public:
    using Reconcilers = std::vector<std::shared_ptr<Reconciler>>;

    FleetDriver(std::string instance, FakeTable &table, FakeFleet &fleet, Reconcilers reconcilers);

    /// Reconcilers of a fleet process, with the given placement policy.
    static Reconcilers standardReconcilers(const std::string &placementPolicy = "peridot",
                                           WaveOrder order = WaveOrder::FailureDomain);

    void setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version);
    /// Takes the leases of all pools of the manifest over from whoever holds them and reads all
    /// rows.
    void acquireLeases(TimePoint now);
    /// Takes the lease of one pool over; the caller reads all rows before it plans.
    void acquireLease(const std::string &pool);
    /// Gives up the leases that another process has taken over since.
    void dropLostLeases();
    void readRows(TimePoint now);
    void readReports(TimePoint now);
    /// Plans with one reconciler after the other.
    std::vector<FleetPlan> plan(TimePoint now);
    CommitResult commit(const Transaction &transaction, TimePoint now);
    /// Reports, plan, commit of every transaction, commands.
    void pass(TimePoint now);

    FleetView &view() { return m_view; }
    const FleetView &view() const { return m_view; }
    void setView(const FleetView &view) { m_view = view; }
    PlanContext context(TimePoint now);

    // Hooks with which tests build deliberately broken variants.
    std::function<void(Transaction &)> changeTransaction;
    std::function<void(std::vector<HostReport> &)> changeReports;
    std::function<void(std::vector<WorkerCommand> &)> changeCommands;
    std::function<void(std::vector<Row> &)> changeRows;

private:
    std::string m_instance;
    FakeTable &m_table;
    FakeFleet &m_fleet;
    Reconcilers m_reconcilers;
    FleetView m_view;
    std::map<std::string, HeldLease> m_leases;
    RandomSource m_random;
};

} // namespace Peridot
