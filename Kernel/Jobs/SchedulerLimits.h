#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/Time.h>
#include <algorithm>

namespace Peridot::Jobs {

/// Upper bound of the time for which a lease lasts, in percent of its length: the clocks of workers
/// may be up to 2% slow.
constexpr int maximumLeasePercent = 103;

/// The result of a job is late after its latency objective, and of no use to its caller after this
/// multiple of it.
constexpr int latestObjectives = 3;

/// Delay before an unanswered order is sent again.
constexpr std::chrono::milliseconds orderRetryDelay{150};
/// The delay doubles with each unanswered stop order of a run, up to this one.
constexpr std::chrono::milliseconds maximumStopRetryDelay{1200};
/// Number of unanswered start orders after which a run is stopped and its task is placed on another
/// worker.
constexpr unsigned maximumStartOrders = 3;
/// Time for which a worker that refused or did not receive a start order gets no new runs.
constexpr std::chrono::milliseconds refusalBackoff{500};

/// Maximum time for which a worker holds a poll until a run ends. Each poll also extends the lease,
/// which is several times longer.
constexpr std::chrono::milliseconds pollWait{1500};
/// The same for workers that run best-effort tasks beside serving tasks: their latencies, which
/// control the throttling of best-effort tasks, are needed more often.
constexpr std::chrono::milliseconds latencyPollWait{500};
/// Age of a poll from which on its answer, or its timeout, waits in this process: no worker takes
/// so long. Another poll is sent, because it extends the lease.
constexpr std::chrono::milliseconds lateAnswerAge{2500};
/// Interval of polls while ended runs are not yet written to the store: the worker reports these
/// runs again, so that a poll would return immediately.
constexpr std::chrono::milliseconds unwrittenEndsPollInterval{400};
/// Exponential backoff after failed polls; the first delay is twice the initial value.
constexpr std::chrono::milliseconds initialPollBackoff{100};
constexpr std::chrono::milliseconds maximumPollBackoff{1000};

/// Minimum time between two runs that are placed on a quarantined worker.
constexpr std::chrono::milliseconds probeInterval{2000};
/// Time for which a worker gets no new runs after a run stalled on it.
constexpr std::chrono::milliseconds stallBackoff{2000};
/// Number of workers on which runs of a step must fail, with none succeeding anywhere, so that its
/// job is taken for the cause.
constexpr std::size_t workersBeforeJobIsAtFault = 2;

/// A run is stopped, and its task is placed on another worker, when it made no progress for this
/// time and for this multiple of its estimated runtime.
constexpr std::chrono::milliseconds stallLimit{4000};
constexpr int stallRuntimeFactor = 3;

/// Minimum percentage to which a best-effort task is throttled; below that it is paused.
constexpr unsigned minimumThrottlePercent = 10;
/// Percentage points by which a throttled task is sped up while latencies are well below their
/// targets.
constexpr unsigned throttleStep = 10;
/// Minimum time between two throttle orders for a run. Workers measure latencies over half a
/// second, so that the effect of an order is visible only after that.
constexpr std::chrono::milliseconds throttleInterval{600};

/// Number of tasks after which a planning pass ends, so that its duration does not grow with what
/// waits. The next pass goes on with the other pools.
constexpr std::size_t maximumPlacementsPerPass = 128;

/// Interval of the checks for expired leases, stalled runs and workers to evacuate. Their time
/// limits are seconds, and each check visits all runs.
constexpr std::chrono::milliseconds checkPeriod{50};

/// Interval of the removal of expired rows of finished jobs, and of tombstones.
constexpr std::chrono::milliseconds expiryPeriod{1000};

/// Maximum number of ended runs in one reply of a worker.
constexpr std::size_t maximumEndsPerPoll = 500;

/// Delay after a transaction that failed for another reason than a conflict.
constexpr std::chrono::milliseconds transactionRetryDelay{100};
/// Delay after which a row that the store refused is tried again. It may have become smaller.
constexpr std::chrono::milliseconds refusedRowDelay{5000};
/// Minimum time between two tries of such rows, so that many of them leave time for the others.
constexpr std::chrono::milliseconds refusedRetryInterval{1000};
/// Maximum number of changed jobs in one transaction. The entries beside them are for the removal
/// of old rows.
constexpr std::size_t maximumJobsPerTransaction = 45;

/// Rows of finished jobs are removed this long after they became due, many in one transaction.
constexpr std::chrono::milliseconds cleanupDelay{1500};

/// Resources that a run reserves on its worker. Best-effort tasks use spare processor time, so
/// they reserve no processors.
inline TaskSize reservedSize(const StepSpecification &step)
{
    TaskSize size = step.size;
    if (step.bestEffort)
        size.milliProcessors = 0;
    return size;
}

/// Delay before the next stop order of a run after this many.
inline std::chrono::milliseconds stopRetryDelay(unsigned ordersSent)
{
    constexpr unsigned maximumDoublings = 3;
    const unsigned doublings = std::min(std::max(ordersSent, 1U) - 1, maximumDoublings);
    return std::min(orderRetryDelay * (1 << doublings), maximumStopRetryDelay);
}

/// Number of tasks of a long-running step that orders may put out of service at the same time.
inline unsigned unavailableLimit(const StepSpecification &step)
{
    return std::max(1U, step.maximumUnavailable.value_or(1));
}

} // namespace Peridot::Jobs
