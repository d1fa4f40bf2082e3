#pragma once

#include <LibBase/OneShotTimer.h>
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace Peridot {

/// Deletes expired claim rows in the background, one page at a time, while \a mayRun returns true.
/// Two sweepers at the same time are harmless, because each deletion checks the versions of its
/// rows. Runs on the thread of the context.
class ClaimSweeper
{
public:
    ClaimSweeper(asio::io_context &context, Store &store, std::function<TimePoint()> clock,
                 std::function<bool()> mayRun);

    void start();
    void stop();
    std::uint64_t deleted() const { return m_deleted; }

private:
    void schedule(Duration delay);
    void scan();
    void pageRead(const ReadResult &page);
    void next(const std::string &startAfter);

    OneShotTimer m_timer;
    Store &m_store;
    std::function<TimePoint()> m_clock;
    std::function<bool()> m_mayRun;
    std::string m_startAfter;
    std::uint64_t m_deleted = 0; ///< rows
    bool m_stopped = false;
};

} // namespace Peridot
