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
    HistoryGone, ///< changes after the wanted version are no longer known; scan again
    Unavailable,
};

struct FeedResult
{
    FeedStatus status = FeedStatus::Unavailable;
    std::vector<RowChange> changes; ///< in the order of their versions
    Version revision = absentVersion; ///< to go on from
};

/// Changes of the rows of a store, in order.
class ChangeFeed
{
public:
    using Callback = std::function<void(const FeedResult &)>;

    virtual ~ChangeFeed() = default;

    /// Reports the changes of rows whose keys start with \a prefix after the version \a after, as
    /// soon as there is one, or an empty list after \a wait.
    virtual void follow(const std::string &prefix, Version after, std::chrono::milliseconds wait,
                        Callback callback)
        = 0;
};

} // namespace Peridot
