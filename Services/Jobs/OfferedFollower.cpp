#include "OfferedFollower.h"

#include <LibBase/Log.h>

namespace Peridot::Jobs {

namespace {

// No reports are written while no limits are in force.
constexpr std::chrono::milliseconds feedWait{10'000};
// Up to 44 processes report once a second; the admission is updated four times a second.
constexpr std::chrono::milliseconds feedPause{250};

RowFollowerSettings followerSettings()
{
    RowFollowerSettings settings;
    settings.prefix = std::string(offeredPrefix);
    settings.wait = feedWait;
    settings.pauseAfterChanges = feedPause;
    return settings;
}

} // namespace

OfferedFollower::OfferedFollower(asio::io_context &context, const PlatformPorts &ports,
                                 JobMetrics &metrics, std::function<TimePoint()> clock)
    : m_metrics(metrics), m_clock(clock),
      m_follower(context, *ports.store, *ports.feed, followerSettings(), std::move(clock),
                 RowFollower::changeHooks([this](const RowChange &change) { rowChanged(change); }))
{
    m_follower.start();
}

void OfferedFollower::rowChanged(const RowChange &change)
{
    const std::string host = change.row.key.substr(offeredPrefix.size());
    if (change.removed) {
        m_malformed.erase(host);
        return m_load.remove(host);
    }
    const bool valid = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(report, parseOfferedReport(change.row.value));
            m_load.report(m_clock(), host, report);
            return true;
        },
        [&](const Error &error) {
            m_metrics.countEvent("row-unreadable");
            // The writer may repeat it every second.
            if (m_malformed.insert(host).second)
                logEvent(LogLevel::Error, "row-unreadable",
                         {{"key", change.row.key}, {"error", describe(error)}});
            return false;
        });
    if (valid)
        m_malformed.erase(host);
}

} // namespace Peridot::Jobs
