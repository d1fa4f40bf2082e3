#pragma once

#include <LibBase/OneShotTimer.h>
#include <LibBase/Time.h>
#include <LibStore/ChangeFeed.h>
#include <LibStore/Store.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Peridot {

struct RowFollowerSettings
{
    std::string prefix;
    std::chrono::milliseconds wait{1000}; ///< maximum wait of one call of the feed
    std::chrono::milliseconds retryPause{100}; ///< after a failed call
    /// Between an answer with changes and the next call, so that one call reports many changes.
    std::chrono::milliseconds pauseAfterChanges{0};
    std::size_t scanPage = 500; ///< rows of one call of a scan
};

/// Reports all rows with a key prefix, and then each change of them. Starts with a scan, follows
/// the change feed, and scans again whenever the history of the feed has expired. Single-threaded
/// on its context.
class RowFollower
{
public:
    struct Hooks
    {
        /// Called with all rows after each scan.
        std::function<void(std::vector<Row>)> onRows;
        std::function<void(const RowChange &)> onChange;
        /// Called when every change that the store committed before \a requestedAt was reported.
        std::function<void(TimePoint requestedAt)> onCurrent;
        std::function<void()> onUnavailable;
    };

    /// Hooks that pass each row of a scan, like each change, to \a onChange.
    static Hooks changeHooks(std::function<void(const RowChange &)> onChange);

    RowFollower(asio::io_context &context, Store &store, ChangeFeed &feed,
                RowFollowerSettings settings, std::function<TimePoint()> clock, Hooks hooks);
    ~RowFollower();
    RowFollower(const RowFollower &) = delete;
    RowFollower &operator=(const RowFollower &) = delete;

    void start();
    /// Sets the maximum wait of later calls of the feed.
    void setWait(std::chrono::milliseconds wait) { m_settings.wait = wait; }

private:
    void scan(const std::string &startAfter);
    void scanned(const ReadResult &result);
    void followChanges();
    void followed(TimePoint requestedAt, const FeedResult &result);
    void retry(std::function<void()> step);

    Store &m_store;
    ChangeFeed &m_feed;
    RowFollowerSettings m_settings;
    std::function<TimePoint()> m_clock;
    Hooks m_hooks;
    OneShotTimer m_timer;
    std::vector<Row> m_scanned;
    Version m_revision = absentVersion;
    TimePoint m_scanBegan;
    /// Callbacks that run after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot
