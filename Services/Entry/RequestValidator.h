#pragma once

#include "Refusal.h"
#include "RoutingSnapshot.h"
#include <Kernel/Request/RequestTypes.h>
#include <LibHttp/HttpMessage.h>
#include <chrono>
#include <variant>

namespace Peridot {

struct ValidRequest
{
    RequestDescription description;
    std::shared_ptr<ServiceGate> gate;
};

/// Whether no other copy of the request can have run: its method is idempotent, or its caller
/// states that this is the first send.
bool isCertainlyFirstCopy(const RequestMessage &request);

/// Validates a request against the routing snapshot. A refusal names the invalid field. The age of
/// the request id is checked by the kernel, which defines the retention period.
std::variant<ValidRequest, Refusal> validateRequest(const RequestMessage &request,
                                                    const RoutingSnapshot &snapshot, TimePoint now,
                                                    std::chrono::milliseconds maximumDeadline);

} // namespace Peridot
