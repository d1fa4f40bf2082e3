#pragma once

#include "ControlOptions.h"
#include <LibRpc/RpcError.h>
#include <json/value.h>
#include <string>

namespace Peridot {

/// Calls a fleet process. Tries the addresses in turn while none accepts a connection, and follows
/// one reference to the holder of the lease `configuration`.
class ControlClient
{
public:
    explicit ControlClient(ControlOptions options) : m_options(std::move(options)) { }

    /// Throws RpcError.
    Json::Value call(const std::string &method, Json::Value parameters) const;

private:
    Json::Value callAt(const std::string &address, const std::string &method,
                       const Json::Value &parameters) const;

    ControlOptions m_options;
};

} // namespace Peridot
