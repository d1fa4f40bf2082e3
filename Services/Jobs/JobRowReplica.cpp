#include "JobRowReplica.h"

#include <Kernel/Jobs/JobRows.h>
#include <asio/post.hpp>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Until the rows are taken, a takeover waits for the end of such a call when no row changes.
constexpr std::chrono::milliseconds replicaFeedWait{100};
// Counts of waiting jobs are as old as the latest answer of this call.
constexpr std::chrono::milliseconds jobFeedWait{500};

void applyChange(JobRowReplica::Rows &rows, const RowChange &change)
{
    if (change.removed)
        rows.erase(change.row.key);
    else
        rows[change.row.key] = change.row;
}

} // namespace

JobRowReplica::JobRowReplica(asio::io_context &context, const PlatformPorts &ports,
                             std::function<TimePoint()> clock)
    : m_context(context), m_ports(ports), m_clock(std::move(clock))
{
}

void JobRowReplica::start()
{
    m_progressFollower
        = follow(progressPrefix, m_progressCurrentSince,
                 [this](const RowChange &change) { applyChange(m_progress, change); });
    m_jobFollower = follow(jobPrefix, m_jobsCurrentSince, [this](const RowChange &change) {
        if (m_onJobChange)
            m_onJobChange(change);
        else
            applyChange(m_jobs, change);
    });
    m_progressFollower->start();
    m_jobFollower->start();
}

std::unique_ptr<RowFollower> JobRowReplica::follow(std::string_view prefix, TimePoint &currentSince,
                                                   std::function<void(const RowChange &)> apply)
{
    RowFollowerSettings settings;
    settings.prefix = std::string(prefix);
    settings.wait = replicaFeedWait;
    RowFollower::Hooks hooks = RowFollower::changeHooks(std::move(apply));
    hooks.onCurrent = [this, &currentSince](TimePoint requestedAt) {
        currentSince = requestedAt;
        checkCurrent();
    };
    return std::make_unique<RowFollower>(m_context, *m_ports.store, *m_ports.feed, settings,
                                         m_clock, std::move(hooks));
}

void JobRowReplica::whenCurrentSince(TimePoint time, std::function<void()> callback)
{
    m_requiredSince = time;
    m_whenCurrent = std::move(callback);
    checkCurrent();
}

void JobRowReplica::checkCurrent()
{
    const bool current
        = m_progressCurrentSince >= m_requiredSince && m_jobsCurrentSince >= m_requiredSince;
    if (!m_whenCurrent || !current)
        return;
    // The callback may end a follower, which may be the caller of this function.
    asio::post(m_context,
               [callback = std::exchange(m_whenCurrent, {}), alive = std::weak_ptr(m_alive)] {
                   if (!alive.expired())
                       callback();
               });
}

JobRowReplica::Rows JobRowReplica::takeProgress()
{
    m_progressFollower.reset();
    return std::move(m_progress);
}

JobRowReplica::Rows JobRowReplica::takeJobs(std::function<void(const RowChange &)> onChange)
{
    m_onJobChange = std::move(onChange);
    m_jobFollower->setWait(jobFeedWait);
    return std::move(m_jobs);
}

} // namespace Peridot::Jobs
