#pragma once

#include <Kernel/Jobs/HostOrders.h>
#include <Kernel/Jobs/WorkerOrders.h>
#include <LibStore/ChangeFeed.h>
#include <LibStore/Store.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// Receives the answers of workers. Each order is answered exactly once unless the process stops
/// before.
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
    ChangeFeed *feed = nullptr;
    std::string operatorPrefix; ///< rows that administrators write
    std::string workerPrefix; ///< rows in which workers register themselves
    /// Decodes the configuration; null when the row is not the configuration row or is malformed.
    std::function<std::shared_ptr<const JobConfiguration>(const Row &)> decodeConfiguration;
    /// Decodes a registration row; nothing when the worker is not usable or the row is malformed.
    std::function<std::optional<WorkerDescription>(const Row &)> decodeWorker;
    /// Returns hooks that send orders to workers, at the address set by setWorkerAddress().
    std::function<WorkerOrderHooks(WorkerReplyHooks)> connectWorkers;
    std::function<void(const WorkerDescription &)> setWorkerAddress;

    using HostListCallback = std::function<void(std::optional<std::vector<HostDescription>>)>;
    using HostOrderCallback = std::function<void(const HostOrder &, HostOrderOutcome)>;

    /// Decodes a requested wave; nothing when the row is not a wave row or is malformed.
    std::function<std::optional<MaintenanceWave>(const Row &)> decodeWave;
    /// Returns the row that shows the status of a wave to administrators.
    std::function<RowWrite(std::uint64_t wave, bool completed)> waveStatus;
    /// Reads the complete list of hosts; nothing when it is not available. Without a host provider,
    /// this function is empty, and hosts are neither moved nor maintained.
    std::function<void(HostListCallback)> listHosts;
    std::function<void(const HostOrder &, HostOrderCallback)> orderHost;
};

} // namespace Peridot::Jobs
