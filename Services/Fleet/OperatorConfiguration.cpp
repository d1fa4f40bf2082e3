#include "OperatorService.h"

#include <Kernel/Fleet/Explain.h>
#include <Kernel/Fleet/ManifestDifference.h>
#include <LibBase/Log.h>
#include <thread>

namespace Peridot {

namespace {

constexpr auto acceptanceLimit = std::chrono::seconds(30);
constexpr auto acceptancePoll = std::chrono::milliseconds(50);

[[noreturn]] void fail(const Error &error, const Json::Value &data = {})
{
    throw RpcError{std::string(errorCodeNames.nameOf(error.code)), error.field, error.detail, data};
}

Manifest parsedManifest(const Json::Value &parameters)
{
    if (!parameters["manifest"].isString())
        fail({ErrorCode::MissingField, "manifest", "text of the manifest expected"});
    std::optional<Error> failure;
    Manifest manifest
        = valueOrElse([&] { return parseManifest(parameters["manifest"].asString()); },
                      [&](const Error &error) {
                          failure = error;
                          return Manifest{};
                      });
    if (failure)
        fail(*failure);
    return manifest;
}

Json::Value proposalToJson(const ProposalResult &result)
{
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(result.version);
    value["author"] = result.author;
    value["changed"] = Json::Value(Json::arrayValue);
    for (const auto &path : result.changed)
        value["changed"].append(path);
    return value;
}

} // namespace

Json::Value OperatorService::validate(const Json::Value &parameters)
{
    const Manifest manifest = parsedManifest(parameters);
    Json::Value result(Json::objectValue);
    result["valid"] = true;
    result["pools"] = Json::UInt64(manifest.pools.size());
    result["hosts"] = Json::UInt64(manifest.hosts.size());
    result["jobs"] = Json::UInt64(manifest.jobs.size());
    return result;
}

Json::Value OperatorService::diff(const Json::Value &parameters)
{
    const Manifest wanted = parsedManifest(parameters);
    return onFleetThread([this, wanted] {
        const FleetView &view = m_planner.view();
        const Manifest current = view.manifest() ? *view.manifest() : Manifest{};
        Json::Value result(Json::objectValue);
        result["version"] = Json::UInt64(view.manifestVersion());
        result["changes"] = Json::Value(Json::arrayValue);
        for (const auto &change : manifestDifference(current, wanted)) {
            Json::Value entry(Json::objectValue);
            entry["kind"] = std::string(manifestChangeKindNames.nameOf(change.kind));
            entry["path"] = change.path;
            entry["before"] = change.before;
            entry["after"] = change.after;
            result["changes"].append(entry);
        }
        return Reply{result, {}, {}};
    });
}

Json::Value OperatorService::apply(const std::string &author, const Json::Value &parameters)
{
    parsedManifest(parameters);
    const std::string manifest = parameters["manifest"].asString();
    const bool named = parameters["parent"].isUInt64();
    const std::uint64_t parent = named ? parameters["parent"].asUInt64() : 0;
    Json::Value proposed = await([&](const ReplyCallback &reply) {
        m_agent.post(
            [this, author, manifest, named, parent, reply](MembershipNode &node, TimePoint) {
                Proposal proposal;
                proposal.author = author;
                proposal.manifest = manifest;
                proposal.parent = named ? parent : node.configuration().head().version;
                const std::lock_guard lock(m_mutex);
                proposal.ticket = ++m_ticket;
                m_waiting[proposal.ticket] = reply;
                node.propose(std::move(proposal));
            });
    });
    if (!parameters.get("wait", true).asBool())
        return proposed;
    return awaitAccepted(proposed["version"].asUInt64());
}

Json::Value OperatorService::awaitAccepted(std::uint64_t version)
{
    Json::Value result(Json::objectValue);
    result["version"] = Json::UInt64(version);
    const auto limit = std::chrono::steady_clock::now() + acceptanceLimit;
    while (std::chrono::steady_clock::now() < limit) {
        const Json::Value head = await([this](const ReplyCallback &reply) {
            m_agent.post([reply](MembershipNode &node, TimePoint) {
                const ConfigurationHead &newest = node.configuration().head();
                Json::Value value(Json::objectValue);
                value["version"] = Json::UInt64(newest.version);
                value["state"] = std::string(configurationStateNames.nameOf(newest.state));
                reply({value, {}, {}});
            });
        });
        const bool accepted = head["state"].asString() == "accepted";
        if (head["version"].asUInt64() > version
            || (head["version"].asUInt64() == version && accepted)) {
            result["state"] = "accepted";
            return result;
        }
        std::this_thread::sleep_for(acceptancePoll);
    }
    result["state"] = "proposed";
    return result;
}

void OperatorService::deliverProposals(MembershipNode &node)
{
    for (const auto &result : node.takeProposalResults()) {
        ReplyCallback reply;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_waiting.find(result.ticket);
            if (found == m_waiting.end())
                continue;
            reply = std::move(found->second);
            m_waiting.erase(found);
        }
        logEvent(
            LogLevel::Info, "proposal-finished",
            {{"status", proposalStatusNames.nameOf(result.status)}, {"version", result.version}});
        const Json::Value data = proposalToJson(result);
        switch (result.status) {
        case ProposalStatus::Proposed:
            reply({data, {}, {}});
            break;
        case ProposalStatus::Conflict:
            reply({{},
                   Error{ErrorCode::StoreConflict, "configuration/head",
                         "version " + std::to_string(result.version) + " by " + result.author
                             + " is newer"},
                   data});
            break;
        case ProposalStatus::NotHolder: {
            const auto holder = node.members().describe(node.leaseHolder(configurationLeaseName));
            reply({{},
                   Error{ErrorCode::NotLeader, holder ? holder->serviceAddress : std::string(),
                         "another process holds the lease configuration"},
                   {}});
            break;
        }
        case ProposalStatus::Unavailable:
            reply(
                {{}, Error{ErrorCode::StoreUnavailable, "configuration/head", "not written"}, {}});
            break;
        }
    }
}

Json::Value OperatorService::explain(const Json::Value &parameters)
{
    const std::string kind = parameters.get("kind", "").asString();
    const std::string name = parameters.get("name", "").asString();
    if (kind != "job" && kind != "host")
        fail({ErrorCode::InvalidValue, "kind", "job or host expected"});
    return onFleetThread([this, kind, name] {
        Reply reply;
        reply.value = valueOrElse(
            [&]() -> Result<Json::Value> {
                Json::Value value(Json::objectValue);
                value["name"] = name;
                if (kind == "job") {
                    BOOST_LEAF_AUTO(job, explainJob(m_planner.view(), name));
                    value["state"] = std::string(jobStateNames.nameOf(job.state));
                    value["reason"] = std::string(pendingReasonNames.nameOf(job.reason));
                    value["detail"] = job.detail;
                    value["tasks"] = Json::Value(Json::arrayValue);
                    for (const auto &task : job.tasks)
                        value["tasks"].append(task);
                    return value;
                }
                BOOST_LEAF_AUTO(host, explainHost(m_planner.view(), name, m_planner.now()));
                value["state"] = std::string(hostStateNames.nameOf(host.state));
                value["purpose"] = std::string(drainPurposeNames.nameOf(host.purpose));
                value["wait"] = std::string(hostWaitNames.nameOf(host.wait));
                value["detail"] = host.detail;
                return value;
            },
            [&](const Error &error) {
                reply.error = error;
                return Json::Value();
            });
        return reply;
    });
}

} // namespace Peridot
