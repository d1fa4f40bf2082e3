#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibBase/Time.h>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/HttpServer.h>
#include <string>

namespace Peridot {

/// Contents of the response to a caller when there is no answer of a backend server.
struct Refusal
{
    Outcome outcome = Outcome::NotRun;
    RefusalReason reason = RefusalReason::None;
    std::string field; ///< invalid header, path, method or body; empty when the input is valid
    std::string detail;
    std::string requestId;
    Duration retryAfter{0};
    bool closeConnection = false;
    int status = 0; ///< overrides statusOf(); 0: none
};

/// Status code of a refusal, by outcome and reason.
int statusOf(Outcome outcome, RefusalReason reason);

ResponseMessage formatRefusal(const Refusal &refusal);

/// Refusal of input that the HTTP server did not accept as a request.
Refusal refusalOf(InputFault fault, const std::string &detail);

} // namespace Peridot
