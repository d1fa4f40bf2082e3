#pragma once

#include <Kernel/Fleet/FleetView.h>
#include <Kernel/Fleet/Reconciler.h>
#include <LibBase/Random.h>
#include <LibStore/PlatformClient.h>
#include <LibStore/Store.h>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
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
    Duration changeScan = std::chrono::seconds(1); ///< rows that operators write
    Duration fullScan = std::chrono::seconds(5); ///< all rows
    std::uint64_t seed = 1;
    std::function<TimePoint()> clock;
};

/// Plans for the pools whose leases this process holds, in passes: read rows and reports, let each
/// reconciler plan, commit its transactions, send commands. Steps of a pass follow each other, so
/// a scan never overlaps with commits of this process. Runs on the thread of the context.
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
    /// Leases held by this process at this moment. A lease is planned under only after all rows
    /// were read since it was acquired.
    void setLeases(std::map<std::string, HeldLease> leases);

    FleetView &view() { return m_view; }
    Store &store() { return m_store; }
    TimePoint now() const { return m_settings.clock(); }
    const Counters &counters() const { return m_counters; }
    /// Leases under which this process plans now.
    std::map<std::string, HeldLease> activeLeases() const;
    /// Applies what the store said about a transaction; reads the rows again when it is not
    /// certain. \a done runs when the view is current.
    void settle(const Transaction &transaction, const CommitResult &result,
                std::function<void()> done);
    /// Reads rows again; \a done runs afterwards, also when they could not be read.
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
    asio::steady_timer m_timer;
    FleetView m_view;
    RandomSource m_random;
    std::vector<std::unique_ptr<Reconciler>> m_reconcilers;
    std::map<std::string, HeldLease> m_leases;
    std::map<std::string, std::uint64_t> m_scannedEpochs; ///< by lease: rows were read since
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
