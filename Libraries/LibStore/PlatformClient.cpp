#include <LibStore/PlatformClient.h>

#include <LibStore/PercentEncoding.h>

namespace Peridot {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnreachable = 502;
constexpr int statusUnavailable = 503;

std::optional<Error> errorOf(const HttpReply &reply, const std::string &path)
{
    if (reply.outcome == HttpOutcome::NotSent)
        return Error{ErrorCode::ConnectionFailed, path, reply.detail};
    if (reply.outcome == HttpOutcome::MaybeSent)
        return Error{ErrorCode::Timeout, path, reply.detail};
    if (reply.status == statusOk)
        return std::nullopt;
    if (reply.status == statusNotFound)
        return Error{ErrorCode::NotFound, path, {}};
    if (reply.status == statusUnreachable)
        return Error{ErrorCode::ConnectionFailed, path, "the platform cannot reach the worker"};
    if (reply.status == statusUnavailable)
        return Error{ErrorCode::StoreUnavailable, path, {}};
    return Error{ErrorCode::ProtocolViolation, path, "status " + std::to_string(reply.status)};
}

template <typename Value, typename Decode>
void call(HttpChannel &channel, HttpRequest &&request, PlatformClient::Callback<Value> callback,
          Decode decode)
{
    std::string path = request.path;
    channel.send(std::move(request), [path = std::move(path), callback = std::move(callback),
                                      decode](const HttpReply &reply) {
        PlatformReply<Value> result;
        result.error = errorOf(reply, path);
        if (!result.error) {
            result.value = valueOrElse([&] { return decode(reply.body); },
                                       [&](const Error &error) {
                                           result.error = error;
                                           return Value{};
                                       });
        }
        callback(result);
    });
}

std::string workerPath(const std::string &host, const char *call)
{
    return "/workers/" + percentEncode(host, false) + call;
}

std::string objectPath(const std::string &key)
{
    return "/object/" + percentEncode(key, true);
}

} // namespace

PlatformClient::PlatformClient(std::shared_ptr<HttpChannel> channel) : m_channel(std::move(channel))
{
}

void PlatformClient::listHosts(Callback<HostList> callback)
{
    call(*m_channel, {"GET", "/hosts", {}}, std::move(callback), decodeHostList);
}

void PlatformClient::report(const std::string &host, Callback<HostReport> callback)
{
    call(*m_channel, {"GET", workerPath(host, "/report"), {}}, std::move(callback),
         decodeHostReport);
}

void PlatformClient::command(const WorkerCommand &command, Callback<CommandReply> callback)
{
    call(*m_channel, {"POST", workerPath(command.host, "/command"), encodeWorkerCommand(command)},
         std::move(callback), decodeCommandReply);
}

void PlatformClient::putObject(const std::string &key, const std::string &value,
                               Callback<Nothing> callback)
{
    call(*m_channel, {"PUT", objectPath(key), value}, std::move(callback),
         [](const std::string &) -> Result<Nothing> { return Nothing{}; });
}

void PlatformClient::getObject(const std::string &key, Callback<std::string> callback)
{
    call(*m_channel, {"GET", objectPath(key), {}}, std::move(callback),
         [](const std::string &body) -> Result<std::string> { return body; });
}

} // namespace Peridot
