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

/// Answers of workers. Each order ends in one call, unless the process stops before.
struct WorkerReplyHooks
{
    std::function<void(const StartOrder &, const OrderReply &)> started;
    std::function<void(const StopOrder &, const OrderReply &)> stopped;
    std::function<void(const PaceOrder &, const OrderReply &)> paced;
    std::function<void(const LookOrder &, const LookReply &)> looked;
    std::function<void(const AdviceRequest &, const AdviceReply &)> advised;
};

/// What the job service needs of the platform that it runs on.
struct PlatformPorts
{
    Store *store = nullptr;
    ChangeFeed *feed = nullptr;
    std::string operatorPrefix; ///< rows that administrators write
    std::string workerPrefix; ///< rows in which workers register themselves
    /// Configuration in a row of administrators; null when the row holds something else, or nothing
    /// that can be read.
    std::function<std::shared_ptr<const JobConfiguration>(const Row &)> decodeConfiguration;
    /// Worker of a registration row; nothing when the row names no worker to use.
    std::function<std::optional<WorkerDescription>(const Row &)> decodeWorker;
    /// Orders to workers, which are known by their newest descriptions.
    std::function<WorkerOrderHooks(WorkerReplyHooks)> connectWorkers;
    std::function<void(const WorkerDescription &)> setWorkerAddress;

    using HostListCallback = std::function<void(std::optional<std::vector<HostDescription>>)>;
    using HostOrderCallback = std::function<void(const HostOrder &, HostOrderOutcome)>;

    /// Maintenance that an administrator's row asks for; nothing when the row holds something else.
    std::function<std::optional<MaintenanceWave>(const Row &)> decodeWave;
    /// Row that tells administrators about a wave.
    std::function<RowWrite(std::uint64_t wave, bool completed)> waveStatus;
    /// The complete list of hosts, or nothing when it can't be had now. Empty: there is no provider
    /// of hosts, and none is moved or maintained.
    std::function<void(HostListCallback)> listHosts;
    std::function<void(const HostOrder &, HostOrderCallback)> orderHost;
};

} // namespace Peridot::Jobs
