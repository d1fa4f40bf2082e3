#pragma once

#include "LinkSettings.h"
#include "LinkState.h"
#include <LibHttp/HttpServer.h>
#include <map>
#include <memory>
#include <string>

namespace Peridot {

using LinkStates = std::map<std::string, std::shared_ptr<LinkState>>;

/// Starts the control server: GET /control/links; POST /control with
/// {"link", "action": "cut" | "heal" | "delay", "from", "delay_ms"}. "from" ("ip:port") limits a
/// cut of a UDP link to one sender. Errors: those of HttpServer::start().
Result<std::unique_ptr<HttpServer>> startLinkControl(const LinkSettings &settings,
                                                     const LinkStates &states);

/// Performs the body of a POST /control. Errors: InvalidJson, SchemaViolation, NotFound,
/// MissingField.
Result<void> applyLinkControl(const LinkStates &states, const std::string &body);

} // namespace Peridot
