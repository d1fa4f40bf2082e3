#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/Time.h>

namespace Peridot::Jobs {

/// Clocks of workers may be 2% slow, so that a lease lasts up to this share of its length.
constexpr int leaseStretchPercent = 103;

/// Pause before an order without an answer is sent again.
constexpr std::chrono::milliseconds orderRetryPause{150};
/// Orders without an answer after which a run is stopped and its task placed elsewhere.
constexpr unsigned maximumStartOrders = 3;
/// A worker that refused or did not receive an order gets no new runs for this long.
constexpr std::chrono::milliseconds refusedPause{500};

/// Longest wait of a look. Each look also extends the lease, which is several times longer.
constexpr std::chrono::milliseconds pollWait{1500};
/// The same while the latencies of the worker decide the pace of tasks that fill.
constexpr std::chrono::milliseconds latencyPollWait{500};
/// Period of looks while ends wait for the store: a waiting look would return at once.
constexpr std::chrono::milliseconds unwrittenEndsPollPause{400};
constexpr std::chrono::milliseconds shortestPollPause{100};
constexpr std::chrono::milliseconds longestPollPause{1000};

/// Failed runs in succession after which a worker is tested with one run at a time.
constexpr unsigned failuresBeforeProbing = 3;
constexpr std::chrono::milliseconds probePause{2000};

/// A run without progress for this long, and for a multiple of its estimate, is moved elsewhere.
constexpr std::chrono::milliseconds stallLimit{4000};
constexpr int stallEstimates = 3;

/// Least share of the processor that a task that fills gets before it is halted, in percent.
constexpr unsigned minimumThrottlePercent = 10;
/// Percent by which the pace rises again while the latencies are well below their targets.
constexpr unsigned throttleStep = 10;
/// Latencies cover the last half second, so the effect of a change shows after that.
constexpr std::chrono::milliseconds throttlePause{600};

/// Leases, stalls and workers that leave are looked over this often: their limits are seconds, and
/// each look visits every run.
constexpr std::chrono::milliseconds checkPeriod{50};

/// Rows of finished jobs are removed up to this much late.
constexpr std::chrono::milliseconds expiryPeriod{1000};

/// Most ends in one answer of a worker.
constexpr std::size_t endsPerPoll = 500;

/// Pause after a transaction that the store did not carry out.
constexpr std::chrono::milliseconds transactionRetryPause{100};
/// Jobs in one transaction. Each takes up to four of its hundred entries.
constexpr std::size_t jobsPerTransaction = 24;

/// What a run reserves on its worker: a task that fills uses left-over processor time.
inline TaskSize reservedSize(const StepSpecification &step)
{
    TaskSize size = step.size;
    if (step.bestEffort)
        size.milliProcessors = 0;
    return size;
}

} // namespace Peridot::Jobs
