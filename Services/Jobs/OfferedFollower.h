#pragma once

#include "JobMetrics.h"
#include "PlatformPorts.h"
#include <Kernel/Jobs/OfferedLoad.h>
#include <LibStore/RowFollower.h>
#include <asio/io_context.hpp>
#include <functional>
#include <set>
#include <string>

namespace Peridot::Jobs {

/// Follows the reports of the processes that accept jobs, for the scheduler. Single-threaded on its
/// context.
class OfferedFollower
{
public:
    OfferedFollower(asio::io_context &context, const PlatformPorts &ports, JobMetrics &metrics,
                    std::function<TimePoint()> clock);

    const OfferedLoad &load() const { return m_load; }

private:
    void rowChanged(const RowChange &change);

    JobMetrics &m_metrics;
    std::function<TimePoint()> m_clock;
    OfferedLoad m_load;
    std::set<std::string> m_malformed; ///< hosts whose latest report was malformed
    RowFollower m_follower;
};

} // namespace Peridot::Jobs
