#pragma once

#include <Kernel/Request/RequestKernel.h>
#include <LibStore/Transaction.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peridot {

/// Claim rows as the dispatcher sees them. Calls do not block; each callback runs once, on the
/// thread of the dispatcher, never inside the call.
class ClaimStore
{
public:
    using ReadCallback = std::function<void(ReadStatus, const Row &)>;
    using CommitCallback = std::function<void(const CommitResult &)>;

    virtual ~ClaimStore() = default;
    virtual void read(TimePoint now, const std::string &key, ReadCallback callback) = 0;
    virtual void commit(TimePoint now, const CommitClaim &claim, CommitCallback callback) = 0;

    /// Sends what is due.
    virtual void tick(TimePoint now) = 0;
    /// When tick() has something to do next, if nothing else happens.
    virtual std::optional<TimePoint> nextTick(TimePoint now) = 0;
    /// Number of processes that share the limits of the store.
    virtual void setProcesses(TimePoint now, std::size_t processes) = 0;
};

/// Runs a function on the thread of the dispatcher.
using DispatcherExecutor = std::function<void(std::function<void()>)>;

/// Builds the claim store of the process called \a instance.
using ClaimStoreFactory
    = std::function<std::unique_ptr<ClaimStore>(const std::string &instance, DispatcherExecutor)>;

} // namespace Peridot
