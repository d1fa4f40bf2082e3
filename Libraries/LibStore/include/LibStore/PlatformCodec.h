#pragma once

#include <Kernel/Fleet/HostReport.h>
#include <LibBase/Error.h>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot {

/// The platform's list of hosts, which lags behind their actual state.
struct HostList
{
    TimePoint observed; ///< time of the state that the list shows
    std::vector<HostReport> hosts; ///< without tasks
};

/// Answer of a worker to a command.
struct CommandReply
{
    bool accepted = false;
    std::string reason; ///< why the worker ignored the command, for logs
};

/// JSON bodies of the host and worker calls. Decoding errors: InvalidJson, or ProtocolViolation
/// with the name of the invalid member in the field.
std::string encodeHostList(const HostList &list);
Result<HostList> decodeHostList(std::string_view text);

std::string encodeHostReport(const HostReport &report);
Result<HostReport> decodeHostReport(std::string_view text);

/// The host is in the path, not in the body.
std::string encodeWorkerCommand(const WorkerCommand &command);
Result<WorkerCommand> decodeWorkerCommand(const std::string &host, std::string_view text);

std::string encodeCommandReply(const CommandReply &reply);
Result<CommandReply> decodeCommandReply(std::string_view text);

} // namespace Peridot
