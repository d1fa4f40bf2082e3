#pragma once

#include <Kernel/Request/RequestKernel.h>
#include <LibStore/Transaction.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peridot {

/// Interface of the dispatcher to the claim rows. Calls do not block; each callback runs once, on
/// the thread of the dispatcher, after the call has returned.
class ClaimStore
{
public:
    using ReadCallback = std::function<void(ReadStatus, const Row &)>;
    using CommitCallback = std::function<void(const CommitResult &)>;

    virtual ~ClaimStore() = default;
    virtual void read(TimePoint now, const std::string &key, ReadCallback callback) = 0;
    virtual void commit(TimePoint now, const CommitClaim &claim, CommitCallback callback) = 0;

    /// Sends the calls that are due.
    virtual void tick(TimePoint now) = 0;
    /// Time of the next call of tick() that is needed if nothing else happens.
    virtual std::optional<TimePoint> nextTick(TimePoint now) = 0;
    /// Sets the number of processes that share the limits of the store.
    virtual void setProcesses(TimePoint now, std::size_t processes) = 0;
};

/// Runs a function on the thread of the dispatcher.
using DispatcherExecutor = std::function<void(std::function<void()>)>;

/// Builds the claim store of the process called \a instance.
using ClaimStoreFactory
    = std::function<std::unique_ptr<ClaimStore>(const std::string &instance, DispatcherExecutor)>;

} // namespace Peridot
