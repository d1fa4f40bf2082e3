#pragma once

#include <Kernel/Request/BackendServerPool.h>
#include <Kernel/Request/QueuedRequest.h>
#include <Kernel/Request/RequestTypes.h>
#include <optional>

namespace Peridot {

/// A request inside the kernel, from its arrival to its answer.
struct RequestState
{
    enum class Phase {
        LookingUp, ///< its claim row is read
        Queued,
        Claiming, ///< has a slot; its claim is written
        Running, ///< an attempt is in flight
        Releasing, ///< did not run; its claim is released
        Refusing, ///< was not claimed; its refusal is recorded
    };

    Phase phase = Phase::Queued;
    RequestToken token = 0;
    bool idempotent = false;
    std::uint64_t callerAttempt = 0;
    bool claimed = false; ///< its claim row is written by this process
    bool refusalRecorded = false; ///< no copy up to this one can run any more
    TimePoint created; ///< by its id; not idempotent
    bool mayHaveRun = false; ///< an earlier attempt has an unknown result
    bool cancelled = false;
    bool claiming = false; ///< counts as a claim in progress
    RefusalReason reason = RefusalReason::None; ///< of the last failed attempt, or of the release
    ServiceIndex service = 0;
    unsigned attempts = 0;
    std::uint64_t attempt = 0; ///< in flight
    TimePoint deadline;
    QueuedRequest node;
    std::optional<SlotReservation> reservation;
    std::optional<ServerIndex> avoid; ///< server of the failed attempt
    std::optional<TimePoint> timer;
};

} // namespace Peridot
