#pragma once

#include "FleetPlanner.h"
#include "FleetSettings.h"
#include <Kernel/Fleet/OperatorPlans.h>
#include <LibMembership/MembershipAgent.h>
#include <LibRpc/RpcServer.h>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Peridot {

/// RPC methods for operators. Each call checks the token, runs on the thread that owns the data,
/// and waits for the result. Methods are called on the threads of the RPC server.
class OperatorService
{
public:
    OperatorService(std::vector<OperatorAccess> operators, std::string instance,
                    MembershipAgent &agent, asio::io_context &fleetContext, FleetPlanner &planner);

    void addMethods(RpcServer &server);
    /// Passes results of proposals to the waiting calls. Must be called on the thread of the agent.
    void deliverProposals(MembershipNode &node);
    /// State of this process, for the page /state and the method dump. Must not be called on the
    /// threads of the agent and the planner, for which it waits.
    Json::Value dump();
    Json::Value status();

private:
    /// Result that is passed between threads. leaf::result cannot be used for this, because its
    /// error object stays on the thread that created it.
    struct Reply
    {
        Json::Value value;
        std::optional<Error> error;
        Json::Value data;
    };
    using ReplyCallback = std::function<void(Reply)>;
    using Handler = std::function<Json::Value(const std::string &author, const Json::Value &)>;
    using Planner = std::function<Result<Transaction>(const OperatorCommand &)>;

    std::string authenticate(const Json::Value &parameters) const;
    void add(RpcServer &server, const std::string &name, Handler handler);
    static Json::Value await(const std::function<void(ReplyCallback)> &start);
    Json::Value onFleetThread(std::function<Reply()> work);
    Json::Value validate(const Json::Value &parameters);
    Json::Value diff(const Json::Value &parameters);
    Json::Value apply(const std::string &author, const Json::Value &parameters);
    Json::Value awaitAccepted(std::uint64_t version);
    Json::Value explain(const Json::Value &parameters);
    /// A command of an operator that is being committed.
    struct PendingCommand
    {
        OperatorCommand operatorCommand;
        std::string action;
        std::string subject;
        std::string auditKey;
        Planner planner;
        ReplyCallback reply;
        unsigned commits = 0; ///< number of commits tried so far
        unsigned admissionWaits = 0; ///< number of waits for the row of a pool of the manifest
    };

    Json::Value command(const std::string &author, const std::string &action,
                        const Json::Value &parameters, Planner planner);
    void commitCommand(const std::shared_ptr<PendingCommand> &command);
    void retryCommand(const std::shared_ptr<PendingCommand> &command);
    bool isDeclaredPool(const std::string &rowKeyOfPool) const;

    std::vector<OperatorAccess> m_operators;
    std::string m_instance;
    MembershipAgent &m_agent;
    asio::io_context &m_context;
    FleetPlanner &m_planner;
    std::mutex m_mutex;
    std::map<std::uint64_t, ReplyCallback> m_waiting; ///< by ticket; guarded by m_mutex
    std::uint64_t m_ticket = 0; ///< guarded by m_mutex
    std::atomic<std::uint64_t> m_operationCount{0};
};

} // namespace Peridot
