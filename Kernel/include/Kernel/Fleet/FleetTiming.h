#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// A host is suspected to have failed when the platform had not heard from it for this long at the
/// time of the report. It then counts against the availability budget, without a change of its row.
constexpr Duration suspectAfter = std::chrono::seconds(5);

/// A host is recorded as failed when the platform had not heard from it for this long at the time
/// of the report.
constexpr Duration failedAfter = std::chrono::seconds(15);

/// Age after which a report is no longer used. This process may be cut off from the platform, so
/// the hosts are suspected but not recorded as failed.
constexpr Duration reportStaleAfter = std::chrono::seconds(15);

/// No new permits are granted for this long after the last failure in a failed rack or data centre.
/// The failed hosts count against the budget for as long as they are failed.
constexpr Duration correlatedFailureHold = std::chrono::seconds(60);

/// Time within which every entry process stops sending new requests to a leaving backend server
/// (invariant I6).
constexpr Duration routingDelay = std::chrono::seconds(3);

/// Time for which a rebooted or recovered host must be live before it becomes active again.
constexpr Duration returnDelay = std::chrono::seconds(2);

/// Length of task leases. It is long, so that tasks survive an outage of the table service. A task
/// on an unreachable host is started elsewhere only after its lease has ended.
constexpr Duration taskLease = std::chrono::minutes(5);

/// A task lease is renewed when less than this remains.
constexpr Duration taskLeaseRenewal = std::chrono::minutes(3);

/// Allowance for the difference between the clocks of workers and of the holder of the pool.
constexpr Duration clockMargin = std::chrono::seconds(2);

/// Time after which a task that does not confirm its checkpoint is stopped.
constexpr Duration checkpointTimeout = std::chrono::seconds(30);

/// Length of the first quarantine of a worker. Each further quarantine is twice as long.
constexpr Duration firstQuarantine = std::chrono::minutes(1);

/// Delay before a task is started again after its first failure. Each further failure doubles it.
constexpr Duration firstTaskRetry = std::chrono::seconds(1);

} // namespace Peridot
