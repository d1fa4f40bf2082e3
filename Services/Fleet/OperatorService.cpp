#include "OperatorService.h"

#include "FleetStatus.h"
#include <Kernel/Fleet/FleetKeys.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibBase/Token.h>
#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <future>
#include <utility>

namespace Peridot {

namespace {

// Longest time a call waits for the store or for another thread of this process.
constexpr auto callLimit = std::chrono::seconds(10);
constexpr auto retryDelay = std::chrono::milliseconds(200);
constexpr unsigned commitAttempts = 10;
// A pool that was just declared gets its row from the holder of its lease, which takes a few
// seconds; a command for it waits this many retries.
constexpr unsigned admissionAttempts = 40;

[[noreturn]] void fail(const Error &error, const Json::Value &data = {})
{
    throw RpcError{std::string(errorCodeNames.nameOf(error.code)), error.field, error.detail, data};
}

std::string text(const Json::Value &parameters, const char *name)
{
    if (!parameters[name].isString())
        fail({ErrorCode::MissingField, name, "string expected"});
    return parameters[name].asString();
}

} // namespace

OperatorService::OperatorService(std::vector<OperatorAccess> operators, std::string instance,
                                 MembershipAgent &agent, asio::io_context &fleetContext,
                                 FleetPlanner &planner)
    : m_operators(std::move(operators)), m_instance(std::move(instance)), m_agent(agent),
      m_context(fleetContext), m_planner(planner)
{
}

std::string OperatorService::authenticate(const Json::Value &parameters) const
{
    const std::string token = parameters.isObject() && parameters["token"].isString()
                                  ? parameters["token"].asString()
                                  : std::string();
    for (const auto &access : m_operators) {
        if (equalTokens(access.token, token))
            return access.name;
    }
    return {};
}

void OperatorService::add(RpcServer &server, const std::string &name, Handler handler)
{
    server.addMethod(name, [this, name, handler = std::move(handler)](const Json::Value &input) {
        const std::string author = authenticate(input);
        if (author.empty()) {
            logEvent(LogLevel::Warning, "operator-refused", {{"method", name}});
            fail({ErrorCode::Unauthorized, "token", "unknown token"});
        }
        logEvent(LogLevel::Info, "operator-call", {{"method", name}, {"operator", author}});
        return handler(author, input);
    });
}

void OperatorService::addMethods(RpcServer &server)
{
    add(server, "validate", [this](auto &, auto &input) { return validate(input); });
    add(server, "diff", [this](auto &, auto &input) { return diff(input); });
    add(server, "apply", [this](auto &author, auto &input) { return apply(author, input); });
    add(server, "status", [this](auto &, auto &) { return status(); });
    add(server, "watch", [this](auto &, auto &) { return status(); });
    add(server, "explain", [this](auto &, auto &input) { return explain(input); });
    add(server, "dump", [this](auto &, auto &) { return dump(); });
    add(server, "drain", [this](auto &author, auto &input) {
        const std::string host = text(input, "host");
        return command(author, "drain", input,
                       [this, host](const OperatorCommand &operatorCommand) {
                           return planOperatorDrain(m_planner.view(), host, operatorCommand);
                       });
    });
    add(server, "undrain", [this](auto &author, auto &input) {
        const std::string host = text(input, "host");
        return command(author, "undrain", input,
                       [this, host](const OperatorCommand &operatorCommand) {
                           return planOperatorUndrain(m_planner.view(), host, operatorCommand);
                       });
    });
    add(server, "wave", [this](auto &author, auto &input) {
        const std::string pool = text(input, "pool");
        const auto wave = waveCommandNames.valueOf(text(input, "command"));
        if (!wave)
            fail({ErrorCode::InvalidValue, "command", text(input, "command")});
        return command(author, "wave-" + text(input, "command"), input,
                       [this, pool, wave](const OperatorCommand &operatorCommand) {
                           return planWaveCommand(m_planner.view(), pool, *wave, operatorCommand);
                       });
    });
}

Json::Value OperatorService::await(const std::function<void(ReplyCallback)> &start)
{
    auto promise = std::make_shared<std::promise<Reply>>();
    auto future = promise->get_future();
    start([promise](Reply reply) { promise->set_value(std::move(reply)); });
    if (future.wait_for(callLimit) != std::future_status::ready)
        fail({ErrorCode::Timeout, {}, "the outcome is unknown; ask for the status"});
    Reply reply = future.get();
    if (reply.error)
        fail(*reply.error, reply.data);
    return reply.value;
}

Json::Value OperatorService::onFleetThread(std::function<Reply()> work)
{
    return await([&](const ReplyCallback &reply) {
        asio::post(m_context, [work = std::move(work), reply] { reply(work()); });
    });
}

Json::Value OperatorService::command(const std::string &author, const std::string &action,
                                     const Json::Value &parameters, Planner planner)
{
    const auto pending = std::make_shared<PendingCommand>();
    OperatorCommand &operatorCommand = pending->operatorCommand;
    operatorCommand.author = author;
    operatorCommand.reason = parameters.get("reason", "").asString();
    operatorCommand.now = m_planner.now();
    const std::uint64_t number = ++m_operationCount;
    operatorCommand.operationId = m_instance + "/operator/"
                                  + std::to_string(operatorCommand.now.time_since_epoch().count())
                                  + '/' + std::to_string(number);
    pending->auditKey = "audit/" + std::to_string(toUnixMilliseconds(operatorCommand.now)) + '-'
                        + m_instance + "-o" + std::to_string(number);
    pending->action = action;
    pending->subject = parameters.get("host", parameters.get("pool", "")).asString();
    pending->planner = std::move(planner);
    return await([&](const ReplyCallback &reply) {
        pending->reply = reply;
        asio::post(m_context, [this, pending] { commitCommand(pending); });
    });
}

void OperatorService::commitCommand(const std::shared_ptr<PendingCommand> &command)
{
    const OperatorCommand &operatorCommand = command->operatorCommand;
    std::optional<Error> failure;
    Transaction transaction = valueOrElse([&] { return command->planner(operatorCommand); },
                                          [&](const Error &error) {
                                              failure = error;
                                              return Transaction{};
                                          });
    if (failure) {
        const bool willAppear
            = failure->code == ErrorCode::NotFound && isDeclaredPool(failure->field);
        if (!willAppear || ++command->admissionWaits >= admissionAttempts)
            return command->reply({{}, failure, {}});
        m_planner.refresh({failure->field}, [this, command] { retryCommand(command); });
        return;
    }
    Json::Value done(Json::objectValue);
    done["action"] = command->action;
    done["subject"] = command->subject;
    if (transaction.writes.empty())
        return command->reply({done, {}, {}});
    Json::Value audit(Json::objectValue);
    audit["who"] = operatorCommand.author;
    audit["what"] = command->action;
    audit["subject"] = command->subject;
    audit["reason"] = operatorCommand.reason;
    audit["version"] = Json::UInt64(m_planner.view().manifestVersion());
    audit["time_ms"] = Json::Int64(toUnixMilliseconds(operatorCommand.now));
    transaction.writes.push_back({command->auditKey, writeJson(audit)});
    m_planner.store().commit(transaction, [=, this](const CommitResult &result) {
        if (result.status == CommitStatus::Committed) {
            m_planner.applyCommitResult(transaction, result, [command, done] {
                command->reply({done, {}, {}});
            });
            return;
        }
        if (++command->commits >= commitAttempts) {
            const bool certain = result.status == CommitStatus::Unavailable;
            return command->reply(
                {{},
                 Error{certain ? ErrorCode::StoreUnavailable : ErrorCode::StoreUnknownOutcome,
                       command->subject,
                       {}},
                 {}});
        }
        // The rows are read again. A wish that took effect although its answer was lost is then
        // found recorded, and the plan has no writes.
        m_planner.applyCommitResult(transaction, result,
                                    [this, command] { retryCommand(command); });
    });
}

void OperatorService::retryCommand(const std::shared_ptr<PendingCommand> &command)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, retryDelay);
    timer->async_wait([this, command, timer](const asio::error_code &) { commitCommand(command); });
}

bool OperatorService::isDeclaredPool(const std::string &rowKeyOfPool) const
{
    const Manifest *manifest = m_planner.view().manifest();
    return manifest
           && std::any_of(manifest->pools.begin(), manifest->pools.end(), [&](const auto &pool) {
                  return rowKey(poolPrefix, pool.name) == rowKeyOfPool;
              });
}

Json::Value OperatorService::status()
{
    Json::Value pools = onFleetThread([this] {
        return Reply{poolStatusesToJson(poolStatuses(m_planner.view(), m_planner.now())), {}, {}};
    });
    Json::Value result = await([this](const ReplyCallback &reply) {
        m_agent.post([reply](MembershipNode &node, TimePoint now) {
            reply({node.dumpState(now), {}, {}});
        });
    });
    result["pools"] = std::move(pools);
    return result;
}

Json::Value OperatorService::dump()
{
    Json::Value result = status();
    result["fleet"] = onFleetThread([this] {
        return Reply{fleetViewToJson(m_planner.view()), {}, {}};
    });
    return result;
}

} // namespace Peridot
