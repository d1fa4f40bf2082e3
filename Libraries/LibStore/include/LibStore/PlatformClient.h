#pragma once

#include <Kernel/Fleet/HostReport.h>
#include <LibBase/Error.h>
#include <LibStore/HttpChannel.h>
#include <LibStore/PlatformCodec.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peridot {

/// Answer of a platform call: a value, or an error. A Result cannot carry it, because the error
/// object of a Result lives on the thread that made it.
template <typename Value>
struct PlatformReply
{
    Value value{};
    std::optional<Error> error;
};

/// The platform's host list, workers and object store. Calls do not block; callbacks run where the
/// channel runs them. Errors of all calls: ConnectionFailed (not sent, or the platform cannot reach
/// the worker), Timeout (sent without a whole answer, so it may have taken effect),
/// StoreUnavailable (refused, with no effect), NotFound, ProtocolViolation. Commands and object
/// writes are idempotent and may be sent again.
class PlatformClient
{
public:
    template <typename Value>
    using Callback = std::function<void(const PlatformReply<Value> &)>;
    struct Nothing
    {
    };

    explicit PlatformClient(std::shared_ptr<HttpChannel> channel);

    void listHosts(Callback<HostList> callback);
    void report(const std::string &host, Callback<HostReport> callback);
    /// The reply tells whether the worker accepted the command, or ignored it because of its epoch.
    void command(const WorkerCommand &command, Callback<CommandReply> callback);
    void putObject(const std::string &key, const std::string &value, Callback<Nothing> callback);
    void getObject(const std::string &key, Callback<std::string> callback);

private:
    std::shared_ptr<HttpChannel> m_channel;
};

} // namespace Peridot
