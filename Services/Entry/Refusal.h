#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibBase/Time.h>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/HttpServer.h>
#include <string>

namespace Peridot {

/// Everything that a caller is told instead of an answer.
struct Refusal
{
    Outcome outcome = Outcome::NotRun;
    RefusalReason reason = RefusalReason::None;
    std::string field; ///< header, path, method or body at fault; empty when the input is fine
    std::string detail;
    std::string requestId;
    Duration retryAfter{0};
    bool closeConnection = false;
    int status = 0; ///< instead of statusOf(); 0: none
};

/// Status code of a refusal, by outcome and reason.
int statusOf(Outcome outcome, RefusalReason reason);

ResponseMessage formatRefusal(const Refusal &refusal);

/// Refusal of input that the server did not accept as a request.
Refusal refusalOf(InputFault fault, const std::string &detail);

} // namespace Peridot
