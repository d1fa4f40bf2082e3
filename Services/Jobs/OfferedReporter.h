#pragma once

#include <Kernel/Jobs/OfferedReport.h>
#include <LibBase/OneShotTimer.h>
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <functional>
#include <memory>
#include <string>

namespace Peridot::Jobs {

/// Writes what was submitted to this process for the scheduler, at most once a second, while limits
/// are in force and something has changed. A write that fails is not repeated: the next one
/// contains it. Single-threaded on its context.
class OfferedReporter
{
public:
    struct Hooks
    {
        std::function<TimePoint()> clock;
        /// Whether limits are in force, and organisations have rates.
        std::function<bool()> isNeeded;
        std::function<const OfferedCounts &()> counts;
    };

    OfferedReporter(asio::io_context &context, Store &store, std::string host, std::string instance,
                    Hooks hooks);

    void start();

private:
    void write();

    Store &m_store;
    std::string m_host;
    Hooks m_hooks;
    OfferedReport m_latest; ///< written last, or being written
    std::uint64_t m_writes = 0; ///< numbers the operation ids
    bool m_writeInFlight = false;
    OneShotTimer m_timer;
    /// Callbacks that run after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
