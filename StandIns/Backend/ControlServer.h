#pragma once

#include "BackendState.h"
#include <LibHttp/HttpServer.h>
#include <memory>

namespace Peridot {

/// Starts the control server: GET /control/runs; GET /control/arrivals; POST /control with a JSON
/// object with any of "fault" and "count", and "service_time_us". Errors: those of
/// HttpServer::start().
Result<std::unique_ptr<HttpServer>> startControlServer(const std::shared_ptr<BackendState> &state);

} // namespace Peridot
