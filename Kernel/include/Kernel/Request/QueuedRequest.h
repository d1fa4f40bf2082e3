#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibBase/Time.h>
#include <cstdint>

namespace Peridot {

/// Index of a service in the kernel. It keeps its value when the routing table changes.
using ServiceIndex = std::uint32_t;

/// Waiting request in the queues of the admission policies. It is a node of an intrusive list, so
/// that a cancelled request is removed in constant time. Its owner must keep its address stable.
struct QueuedRequest
{
    RequestToken token = 0;
    ServiceIndex service = 0;
    Urgency urgency = Urgency::Normal;
    TimePoint queuedAt;
    std::uint64_t sequence = 0; ///< order of arrival in this process
    QueuedRequest *previous = nullptr;
    QueuedRequest *next = nullptr;
    bool queued = false; ///< whether the request is in a queue
};

} // namespace Peridot
