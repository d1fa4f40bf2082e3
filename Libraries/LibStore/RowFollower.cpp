#include <LibStore/RowFollower.h>

#include <utility>

namespace Peridot {

RowFollower::RowFollower(asio::io_context &context, Store &store, ChangeFeed &feed,
                         RowFollowerSettings settings, std::function<TimePoint()> clock,
                         Hooks hooks)
    : m_store(store), m_feed(feed), m_settings(std::move(settings)), m_clock(std::move(clock)),
      m_hooks(std::move(hooks)), m_timer(context)
{
}

RowFollower::~RowFollower() = default;

RowFollower::Hooks RowFollower::changeHooks(std::function<void(const RowChange &)> onChange)
{
    Hooks hooks;
    hooks.onRows = [onChange](const std::vector<Row> &rows) {
        for (const Row &row : rows)
            onChange({row, false});
    };
    hooks.onChange = std::move(onChange);
    return hooks;
}

void RowFollower::start()
{
    m_scanned.clear();
    m_revision = absentVersion;
    m_scanBegan = m_clock();
    scan({});
}

void RowFollower::scan(const std::string &startAfter)
{
    m_store.scan(m_settings.prefix, startAfter, m_settings.scanPage,
                 [this, alive = std::weak_ptr(m_alive)](const ReadResult &result) {
                     if (!alive.expired())
                         scanned(result);
                 });
}

void RowFollower::scanned(const ReadResult &result)
{
    if (result.status != ReadStatus::Ok)
        return retry([this] { start(); });
    // Pages are read one after another. The feed goes on from the first, so that a change between
    // two pages is seen at least once.
    if (m_revision == absentVersion)
        m_revision = result.revision;
    m_scanned.insert(m_scanned.end(), result.rows.begin(), result.rows.end());
    if (result.more && !result.rows.empty())
        return scan(result.rows.back().key);
    const std::weak_ptr alive = m_alive;
    m_hooks.onRows(std::exchange(m_scanned, {}));
    if (alive.expired())
        return;
    if (m_hooks.onCurrent)
        m_hooks.onCurrent(m_scanBegan);
    if (!alive.expired())
        followChanges();
}

void RowFollower::followChanges()
{
    m_feed.follow(
        m_settings.prefix, m_revision, m_settings.wait,
        [this, requestedAt = m_clock(), alive = std::weak_ptr(m_alive)](const FeedResult &result) {
            if (!alive.expired())
                followed(requestedAt, result);
        });
}

void RowFollower::followed(TimePoint requestedAt, const FeedResult &result)
{
    if (result.status == FeedStatus::HistoryExpired)
        return start();
    if (result.status == FeedStatus::Unavailable)
        return retry([this] { followChanges(); });
    m_revision = result.revision;
    const std::weak_ptr alive = m_alive;
    for (const RowChange &change : result.changes) {
        m_hooks.onChange(change);
        if (alive.expired())
            return;
    }
    if (m_hooks.onCurrent)
        m_hooks.onCurrent(requestedAt);
    if (alive.expired())
        return;
    if (result.changes.empty() || m_settings.pauseAfterChanges.count() == 0)
        return followChanges();
    m_timer.runAfter(m_settings.pauseAfterChanges, [this] { followChanges(); });
}

void RowFollower::retry(std::function<void()> step)
{
    if (m_hooks.onUnavailable)
        m_hooks.onUnavailable();
    m_timer.runAfter(m_settings.retryPause, std::move(step));
}

} // namespace Peridot
