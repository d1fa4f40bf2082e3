#pragma once

#include <Kernel/Fleet/FleetView.h>
#include <Kernel/Fleet/Reconciler.h>
#include <LibBase/OneShotTimer.h>
#include <LibBase/Random.h>
#include <LibStore/PlatformClient.h>
#include <LibStore/Store.h>
#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Peridot {

struct FleetPlannerSettings
{
    std::string instance;
    std::string placementPolicy = "peridot";
    Duration planPeriod = std::chrono::milliseconds(500);
    Duration reportPeriod = std::chrono::seconds(1);
    Duration changeScan = std::chrono::seconds(1); ///< period of scans of rows of operators
    Duration fullScan = std::chrono::seconds(5); ///< period of scans of all rows
    std::uint64_t seed = 1;
    std::function<TimePoint()> clock;
};

/// Plans the pools whose leases this process holds. Each pass reads rows and reports, lets each
/// reconciler plan, commits the transactions and sends the commands. These steps do not overlap, so
/// a scan never runs at the same time as commits of this process. Runs on the thread of the
/// context.
class FleetPlanner
{
public:
    struct Counters
    {
        std::uint64_t passes = 0;
        std::uint64_t committed = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t unknown = 0;
        std::uint64_t unavailable = 0;
        std::uint64_t commands = 0;
        std::uint64_t hostMoves = 0; ///< observed changes of the pool of a host row
    };

    FleetPlanner(asio::io_context &context, Store &store, PlatformClient &platform,
                 FleetPlannerSettings settings);

    /// Errors: UnknownPlugin.
    Result<void> start();
    void stop() { m_stopped = true; }

    void setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version);
    /// Sets the leases that this process holds now. A lease is used for planning only after all
    /// rows were read since it was acquired.
    void setLeases(std::map<std::string, HeldLease> leases);

    FleetView &view() { return m_view; }
    Store &store() { return m_store; }
    TimePoint now() const { return m_settings.clock(); }
    const Counters &counters() const { return m_counters; }
    /// Held leases that are used for planning.
    std::map<std::string, HeldLease> activeLeases() const;
    /// Applies the result of a transaction to the view. Reads the rows again when the outcome is
    /// not certain. \a done runs when the view is up to date.
    void applyCommitResult(const Transaction &transaction, const CommitResult &result,
                           std::function<void()> done);
    /// Reads rows again. \a done runs afterwards, even when they could not be read.
    void refresh(const std::vector<std::string> &keys, std::function<void()> done);

private:
    void beginPass();
    void schedule(Duration delay);
    void scan(std::vector<std::string> prefixes, std::size_t index, const std::string &startAfter);
    void scanFinished(const std::vector<std::string> &prefixes);
    void readReports();
    void readWorkers(std::map<std::string, HostReport> listed);
    void plan(std::size_t index);
    void sendCommands();
    void apply(const std::vector<Row> &rows);
    std::vector<std::string> hostsOfHeldPools() const;

    asio::io_context &m_context;
    Store &m_store;
    PlatformClient &m_platform;
    FleetPlannerSettings m_settings;
    OneShotTimer m_timer;
    FleetView m_view;
    RandomSource m_random;
    std::vector<std::unique_ptr<Reconciler>> m_reconcilers;
    std::map<std::string, HeldLease> m_leases;
    std::map<std::string, std::uint64_t> m_scannedEpochs; ///< by lease: epoch with all rows read
    std::map<std::string, std::uint64_t> m_epochsAtScan;
    std::map<std::string, HostReport> m_workerReports; ///< last full report of each host
    std::vector<Row> m_scanned;
    std::vector<WorkerCommand> m_commands;
    Counters m_counters;
    TimePoint m_nextFullScan;
    TimePoint m_nextChangeScan;
    TimePoint m_nextReports;
    bool m_stopped = false;
};

} // namespace Peridot
