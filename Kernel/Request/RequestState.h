#pragma once

#include <Kernel/Request/BackendServerPool.h>
#include <Kernel/Request/QueuedRequest.h>
#include <Kernel/Request/RequestTypes.h>
#include <optional>

namespace Peridot {

/// State of a request from its arrival to its answer.
struct RequestState
{
    enum class Phase {
        LookingUp, ///< the claim row is being read
        Queued,
        Claiming, ///< has a slot; the claim is being written
        Running, ///< an attempt is in flight
        Releasing, ///< did not run; the claim is being released
        Refusing, ///< was not claimed; the refusal is being recorded
    };

    Phase phase = Phase::Queued;
    RequestToken token = 0;
    bool idempotent = false;
    std::uint64_t callerAttempt = 0;
    bool claimed = false; ///< this process has written the claim row
    bool refusalRecorded = false; ///< a row prevents this and all earlier copies from running
    TimePoint created; ///< creation time in the request id; only for non-idempotent requests
    bool mayHaveRun = false; ///< the result of an earlier attempt is unknown
    bool cancelled = false;
    bool claiming = false; ///< included in the number of claims in progress
    RefusalReason reason
        = RefusalReason::None; ///< reason of the last failed attempt or of the release
    ServiceIndex service = 0;
    unsigned attempts = 0; ///< number of attempts started
    std::uint64_t attempt = 0; ///< id of the last attempt started
    TimePoint deadline;
    QueuedRequest node; ///< node in the queue of the service
    std::optional<SlotReservation> reservation;
    std::optional<ServerIndex> failedServer; ///< server of the last attempt; avoided by a retry
    std::optional<TimePoint> timer;
};

} // namespace Peridot
