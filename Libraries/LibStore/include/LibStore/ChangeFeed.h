#pragma once

#include <LibStore/Transaction.h>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Peridot {

struct RowChange
{
    Row row; ///< of a removed row, only the key and the version
    bool removed = false;
};

enum class FeedStatus {
    Ok,
    HistoryExpired, ///< changes after the requested version are no longer kept; scan again
    Unavailable,
};

struct FeedResult
{
    FeedStatus status = FeedStatus::Unavailable;
    std::vector<RowChange> changes; ///< in the order of their versions
    Version revision = absentVersion; ///< version from which the next call continues
};

/// Stream of the changes of a store's rows, in commit order.
class ChangeFeed
{
public:
    using Callback = std::function<void(const FeedResult &)>;

    virtual ~ChangeFeed() = default;

    /// Reports the changes after the version \a after of rows whose keys start with \a prefix, as
    /// soon as there is one. Reports an empty list when there is none within \a wait.
    virtual void follow(const std::string &prefix, Version after, std::chrono::milliseconds wait,
                        Callback callback)
        = 0;
};

} // namespace Peridot
