#pragma once

#include <Kernel/Jobs/WorkerOrders.h>
#include <LibStore/ChangeFeed.h>
#include <LibStore/Store.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peridot::Jobs {

/// Answers of workers. Each order ends in one call, unless the process stops before.
struct WorkerReplyHooks
{
    std::function<void(const StartOrder &, const OrderReply &)> started;
    std::function<void(const StopOrder &, const OrderReply &)> stopped;
    std::function<void(const PaceOrder &, const OrderReply &)> paced;
    std::function<void(const LookOrder &, const LookReply &)> looked;
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
};

} // namespace Peridot::Jobs
