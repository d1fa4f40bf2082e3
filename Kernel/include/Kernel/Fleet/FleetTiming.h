#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Age of the platform's last sign of a host, at the time the report was fetched, after which the
/// host counts against the budget although no row says so.
constexpr Duration doubtAfter = std::chrono::seconds(5);

/// The same age after which the host is recorded as failed.
constexpr Duration silentAfter = std::chrono::seconds(15);

/// Age of the fetch itself after which no report is trusted: the observer is cut off, so hosts are
/// in doubt but are not recorded as failed.
constexpr Duration reportStaleAfter = std::chrono::seconds(15);

/// A failed rack or data centre holds back new permits for this long after its last failure. The
/// failed hosts count against the budget for as long as they are failed.
constexpr Duration correlatedHold = std::chrono::seconds(60);

/// Time within which every entry process stops sending new requests to a leaving backend server
/// (invariant I6).
constexpr Duration routingDelay = std::chrono::seconds(3);

/// Time for which a rebooted or recovered host is seen live before it is active again.
constexpr Duration returnDelay = std::chrono::seconds(2);

/// Lease of a task. It is long so that tasks survive an outage of the table service; a task on a
/// silent host is started elsewhere only after it ends.
constexpr Duration taskLease = std::chrono::minutes(5);

/// A task lease is renewed when less than this remains.
constexpr Duration taskLeaseRenewal = std::chrono::minutes(3);

/// Allowance for the difference between the clocks of workers and of the holder of the pool.
constexpr Duration clockMargin = std::chrono::seconds(2);

/// Time after which a task that does not confirm its checkpoint is stopped.
constexpr Duration checkpointTimeout = std::chrono::seconds(30);

/// First quarantine of a worker; doubled with each further one.
constexpr Duration firstQuarantine = std::chrono::minutes(1);

/// First delay before a failed task is started again; doubled with each failure.
constexpr Duration firstTaskRetry = std::chrono::seconds(1);

} // namespace Peridot
