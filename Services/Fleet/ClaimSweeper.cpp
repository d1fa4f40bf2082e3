#include "ClaimSweeper.h"

#include <Kernel/Request/ClaimSweep.h>
#include <LibBase/Log.h>
#include <utility>

namespace Peridot {

namespace {

// One transaction of this many rows counts as one write of the store.
constexpr std::size_t pageRows = 100;
constexpr Duration pagePause = std::chrono::milliseconds(100);
constexpr Duration sweepPause = std::chrono::minutes(1);

} // namespace

ClaimSweeper::ClaimSweeper(asio::io_context &context, Store &store,
                           std::function<TimePoint()> clock, std::function<bool()> mayRun)
    : m_timer(context), m_store(store), m_clock(std::move(clock)), m_mayRun(std::move(mayRun))
{
}

void ClaimSweeper::start()
{
    schedule(pagePause);
}

void ClaimSweeper::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void ClaimSweeper::schedule(Duration delay)
{
    if (m_stopped)
        return;
    m_timer.runAfter(delay, [this] { scan(); });
}

void ClaimSweeper::scan()
{
    if (!m_mayRun())
        return schedule(sweepPause);
    m_store.scan(std::string(claimPrefix), m_startAfter, pageRows,
                 [this](const ReadResult &page) { pageRead(page); });
}

void ClaimSweeper::pageRead(const ReadResult &page)
{
    if (page.status != ReadStatus::Ok)
        return schedule(sweepPause);
    const ClaimSweepStep step = planClaimSweep(page.rows, page.more, m_clock());
    if (!step.deletion)
        return next(step.startAfter);
    const std::size_t rows = step.deletion->writes.size();
    m_store.commit(*step.deletion, [this, rows, step](const CommitResult &result) {
        // A page that was not certainly deleted is read again by the next sweep.
        if (result.status == CommitStatus::Committed) {
            m_deleted += rows;
            logEvent(LogLevel::Info, "claims-deleted",
                     {{"rows", static_cast<std::uint64_t>(rows)}});
        }
        next(step.startAfter);
    });
}

void ClaimSweeper::next(const std::string &startAfter)
{
    m_startAfter = startAfter;
    schedule(startAfter.empty() ? sweepPause : pagePause);
}

} // namespace Peridot
