#pragma once

#include <Kernel/Jobs/HostOrders.h>
#include <Kernel/Jobs/StoreRoute.h>
#include <Kernel/Jobs/WorkerOrders.h>
#include <LibBase/TaskQueue.h>
#include <LibStore/ChangeFeed.h>
#include <LibStore/Store.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// Callbacks for the replies of workers. Each order gets exactly one call of the corresponding
/// callback, unless the process stops first.
struct WorkerReplyHooks
{
    std::function<void(const StartOrder &, const OrderReply &)> started;
    std::function<void(const StopOrder &, const OrderReply &)> stopped;
    std::function<void(const ThrottleOrder &, const OrderReply &)> throttled;
    std::function<void(const PollOrder &, const PollReply &)> polled;
    std::function<void(const AdviceRequest &, const AdviceReply &)> advised;
};

/// Interface of the job service to the platform that it runs on.
struct PlatformPorts
{
    Store *store = nullptr;
    /// The same store for calls that answer callers. Their number is not bounded, so that they must
    /// not delay those of the scheduler, above all renewals of its lease.
    Store *callerStore = nullptr;
    ChangeFeed *feed = nullptr;
    /// The same store and feed for what must be in time however much else waits: the lease of the
    /// scheduler, the rows of its election, and the configuration.
    Store *urgentStore = nullptr;
    ChangeFeed *urgentFeed = nullptr;
    /// Route of the calls of \c store and \c urgentStore, which uses peers while this process
    /// schedules. May be null.
    StoreRoute *storeRoute = nullptr;
    /// Runs the replies of the store and of the workers, and the work of the scheduler.
    TaskQueue *tasks = nullptr;
    std::string operatorPrefix; ///< key prefix of the rows that administrators write
    std::string workerPrefix; ///< key prefix of the rows in which workers register themselves
    /// Decodes the configuration row. Returns null for another or a malformed row.
    std::function<std::shared_ptr<const JobConfiguration>(const Row &)> decodeConfiguration;
    /// Decodes the registration row of a worker. Returns nothing when the worker is not usable or
    /// the row is malformed.
    std::function<std::optional<WorkerDescription>(const Row &)> decodeWorker;
    /// Returns hooks that send orders to workers, at the addresses set by setWorkerAddress(), and
    /// pass the replies to the given callbacks.
    std::function<WorkerOrderHooks(WorkerReplyHooks)> connectWorkers;
    /// Sets the address to which orders for this worker are sent.
    std::function<void(const WorkerDescription &)> setWorkerAddress;

    /// Receives the list of hosts; nothing when it is not available.
    using HostListCallback = std::function<void(std::optional<HostList>)>;
    using HostOrderCallback = std::function<void(const HostOrder &, HostOrderOutcome)>;

    /// Decodes a wave requested by an administrator. Returns nothing for another or a malformed
    /// row.
    std::function<std::optional<MaintenanceWave>(const Row &)> decodeWave;
    /// Returns the write of the row that shows the status of a wave to administrators.
    std::function<RowWrite(std::uint64_t wave, bool completed)> waveStatus;
    /// Requests the complete list of hosts from the host provider. Empty without a host provider;
    /// hosts are then neither moved nor maintained.
    std::function<void(HostListCallback)> listHosts;
    /// Sends an order to the host provider. Empty without a host provider.
    std::function<void(const HostOrder &, HostOrderCallback)> orderHost;
};

} // namespace Peridot::Jobs
