#pragma once

#include <Kernel/Request/RequestKernel.h>
#include <LibStore/Transaction.h>
#include <functional>
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
    virtual void read(const std::string &key, ReadCallback callback) = 0;
    virtual void commit(const CommitClaim &claim, CommitCallback callback) = 0;
};

/// Runs a function on the thread of the dispatcher.
using DispatcherExecutor = std::function<void(std::function<void()>)>;

/// Builds the claim store of a process.
using ClaimStoreFactory = std::function<std::unique_ptr<ClaimStore>(DispatcherExecutor)>;

} // namespace Peridot
