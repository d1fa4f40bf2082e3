#include "EntryProcess.h"

#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibBase/Token.h>
#include <LibMembership/InstanceName.h>
#include <LibMembership/ProcessClock.h>
#include <condition_variable>
#include <mutex>

namespace Peridot {

namespace {

constexpr std::chrono::hours ownLease{24 * 365 * 10}; ///< a process without peers never loses it
constexpr std::chrono::milliseconds writePollInterval{5};
constexpr std::chrono::seconds refusalRetryAfter{1};

} // namespace

EntryProcess::EntryProcess(const EntrySettings &settings, Dependencies dependencies)
    : m_settings(settings), m_dependencies(std::move(dependencies)),
      m_instance(makeInstanceName(settings.instancePrefix)),
      m_log(settings.logLevel == "info" || settings.logLevel == "debug")
{
    if (!m_dependencies.clock)
        m_dependencies.clock = processNow;
    if (!m_dependencies.mayServe)
        m_dependencies.mayServe = [this] {
            return m_dependencies.clock().time_since_epoch().count() < m_leaseEnd;
        };
}

EntryProcess::~EntryProcess()
{
    // The threads of the servers call into the dispatcher, and its open requests refer to
    // connections of the servers.
    if (m_callerServer)
        m_callerServer->stop();
    if (m_administrationServer)
        m_administrationServer->stop();
    m_dispatcher.reset();
}

Result<std::unique_ptr<EntryProcess>> EntryProcess::start(const EntrySettings &settings,
                                                          Dependencies dependencies)
{
    std::unique_ptr<EntryProcess> process(new EntryProcess(settings, std::move(dependencies)));
    BOOST_LEAF_CHECK(process->open());
    return process;
}

Result<void> EntryProcess::open()
{
    DispatcherSettings dispatcher;
    dispatcher.kernel.instance = m_instance;
    dispatcher.kernel.admissionPolicy = m_settings.admissionPolicy;
    dispatcher.kernel.routingPolicy = m_settings.routingPolicy;
    dispatcher.kernel.queueLimit = m_settings.queueLimit;
    dispatcher.kernel.seed = std::hash<std::string>{}(m_instance);
    dispatcher.transport.client.maximumAnswerBytes = m_settings.maximumAnswerBytes;
    dispatcher.transport.client.connectTimeout = m_settings.connectTimeout;
    dispatcher.transport.client.idleConnectionTimeout = m_settings.idleConnectionTimeout;
    // Between the decision for an attempt and its first byte the process may have been paused.
    dispatcher.transport.client.maySend = m_dependencies.mayServe;
    dispatcher.transport.threads = static_cast<unsigned>(m_settings.transportThreads);
    dispatcher.clock = m_dependencies.clock;
    dispatcher.sendPeerMessage = m_dependencies.sendPeerMessage;
    dispatcher.mayServe = m_dependencies.mayServe;
    BOOST_LEAF_ASSIGN(
        m_dispatcher,
        Dispatcher::create(std::move(dispatcher), m_dependencies.makeClaims, m_metrics, m_log));
    makeHooks();
    m_dispatcher->start();
    if (m_dependencies.standalone) {
        m_hooks.onMembersChanged({1, {m_instance}});
        m_hooks.onLease(m_dependencies.clock() + ownLease);
    }
    if (m_settings.bootstrap)
        m_hooks.onRoutingTable(m_settings.bootstrap);

    HttpServerSettings server;
    server.address = m_settings.administration.address;
    server.port = m_settings.administration.port;
    server.tls = m_settings.administration.tls;
    HttpServerHooks hooks;
    hooks.onRequest
        = [this](const RequestMessage &message, const std::shared_ptr<HttpResponder> &responder) {
              handleAdministration(message, responder);
          };
    BOOST_LEAF_ASSIGN(m_administrationServer, HttpServer::start(server, std::move(hooks)));

    server.address = m_settings.callers.address;
    server.port = m_settings.callers.port;
    server.tls = m_settings.callers.tls;
    server.threads = m_settings.serverThreads;
    server.maximumConnections = m_settings.maximumConnections;
    server.readTimeout = m_settings.readTimeout;
    HttpServerHooks callerHooks;
    callerHooks.onRequest
        = [this](RequestMessage message, const std::shared_ptr<HttpResponder> &responder) {
              handleRequest(std::move(message), responder);
          };
    callerHooks.onAbandoned = [this](std::uint64_t serial) {
        m_dispatcher->requestCancelled(serial);
    };
    callerHooks.onInputFault = [this](InputFault fault, const std::string &detail) {
        const Refusal refusal = refusalOf(fault, detail);
        m_metrics.refusedBeforeDispatch(refusal.reason);
        logEvent(LogLevel::Info, "input-refused",
                 {{"fault", inputFaultNames.nameOf(fault)}, {"detail", detail}});
        return formatRefusal(refusal);
    };
    BOOST_LEAF_ASSIGN(m_callerServer, HttpServer::start(server, std::move(callerHooks)));
    logEvent(LogLevel::Info, "entry-started",
             {{"instance", m_instance},
              {"data_centre", m_settings.dataCentre},
              {"caller_port", int(callerPort())},
              {"administration_port", int(administrationPort())}});
    return {};
}

void EntryProcess::makeHooks()
{
    m_hooks.onMembersChanged = [this](EntryMembers members) {
        m_dispatcher->membersChanged(std::move(members));
    };
    m_hooks.onRoutingTable = [this](std::shared_ptr<const RoutingTable> table) {
        publishRoutingTable(std::move(table));
    };
    m_hooks.onLease = [this](TimePoint leaseEnd) {
        m_leaseEnd = leaseEnd.time_since_epoch().count();
        m_dispatcher->leaseChanged(leaseEnd);
    };
    m_hooks.onBackendServerLeaving = [this](std::string server, bool leaving) {
        m_dispatcher->backendServerLeaving(std::move(server), leaving);
    };
    m_hooks.onPeerMessage = [this](std::string instance, std::string message) {
        m_dispatcher->peerMessageReceived(std::move(instance), std::move(message));
    };
}

void EntryProcess::publishRoutingTable(std::shared_ptr<const RoutingTable> table)
{
    const auto previous = m_routing.load();
    m_dispatcher->routingTableChanged(table);
    m_routing.store(RoutingSnapshot::make(std::move(table), previous.get(), m_settings.queueLimit));
}

std::string EntryProcess::unreadyReason() const
{
    if (m_stopping)
        return "stopping";
    if (!m_routing.load())
        return "no-routing-table";
    if (!m_dependencies.mayServe())
        return "may-not-serve";
    return {};
}

void EntryProcess::handleRequest(RequestMessage message,
                                 const std::shared_ptr<HttpResponder> &responder)
{
    Refusal refusal;
    refusal.retryAfter = refusalRetryAfter;
    // An earlier copy of an undeclared request may have run through another entry process.
    if (!isCertainlyFirstCopy(message))
        refusal.outcome = Outcome::Unknown;
    const auto routing = m_routing.load();
    if (m_stopping) {
        refusal.reason = RefusalReason::Stopping;
        refusal.closeConnection = true;
        return refuse(std::move(refusal), message, *responder);
    }
    if (!routing || !m_dependencies.mayServe()) {
        refusal.reason = RefusalReason::NotReady;
        return refuse(std::move(refusal), message, *responder);
    }
    auto checked
        = validateRequest(message, *routing, m_dependencies.clock(), m_settings.maximumDeadline);
    if (auto *invalid = std::get_if<Refusal>(&checked))
        return refuse(std::move(*invalid), message, *responder);
    auto &valid = std::get<ValidRequest>(checked);
    if (!valid.gate->tryEnter()) {
        refusal.reason = RefusalReason::QueueFull;
        return refuse(std::move(refusal), message, *responder);
    }
    m_dispatcher->requestArrived(std::move(valid), std::move(message), responder);
}

void EntryProcess::refuse(Refusal refusal, const RequestMessage &message, HttpResponder &responder)
{
    m_metrics.refusedBeforeDispatch(refusal.reason);
    if (const std::string *id = findHeader(message.headers, "Request-Id"))
        refusal.requestId = id->substr(0, 64);
    responder.send(formatRefusal(refusal));
}

void EntryProcess::handleAdministration(const RequestMessage &message,
                                        const std::shared_ptr<HttpResponder> &responder)
{
    const HttpHeaders text = {{"Content-Type", "text/plain; version=0.0.4"}};
    if (message.method != "GET")
        return responder->send({405, text, "only GET is supported\n"});
    if (message.target == "/health")
        return responder->send({200, text, "ok\n"});
    if (message.target == "/ready") {
        const std::string reason = unreadyReason();
        return responder->send(
            {reason.empty() ? 200 : 503, text, reason.empty() ? "ready\n" : reason + '\n'});
    }
    if (message.target == "/metrics") {
        m_metrics.setGauges(m_dispatcher->openRequests(),
                            m_callerServer ? m_callerServer->openConnections() : 0);
        return responder->send({200, text, m_metrics.serialize()});
    }
    if (message.target == "/state")
        return sendState(message, responder);
    responder->send({404, text, "unknown page\n"});
}

void EntryProcess::sendState(const RequestMessage &message,
                             const std::shared_ptr<HttpResponder> &responder)
{
    const std::string *authorization = findHeader(message.headers, "Authorization");
    if (authorization == nullptr
        || !equalTokens(*authorization, "Bearer " + m_settings.operatorToken))
        return responder->send(
            {401, {{"WWW-Authenticate", "Bearer"}}, "operator token required\n"});
    const std::string unready = unreadyReason();
    m_dispatcher->dumpState([this, responder, unready](const std::string &kernelState) {
        Json::Value state;
        state["instance"] = m_instance;
        state["data_centre"] = m_settings.dataCentre;
        state["unready_reason"] = unready;
        const auto routing = m_routing.load();
        state["routing_version"] = Json::UInt64(routing ? routing->table->version : 0);
        state["kernel"] = valueOrElse([&] { return parseJson(kernelState); },
                                      [](const Error &) { return Json::Value(); });
        responder->send({200, {{"Content-Type", "application/json"}}, writeJson(state) + '\n'});
    });
}

void EntryProcess::reloadCertificates()
{
    for (HttpServer *server : {m_callerServer.get(), m_administrationServer.get()}) {
        valueOrElse(
            [&]() -> Result<int> {
                BOOST_LEAF_CHECK(server->reloadCertificate());
                logEvent(LogLevel::Info, "certificate-reloaded", {{"port", int(server->port())}});
                return 0;
            },
            [&](const Error &error) {
                logEvent(LogLevel::Error, "certificate-unusable",
                         {{"port", int(server->port())}, {"error", describe(error)}});
                return 0;
            });
    }
}

bool EntryProcess::stop()
{
    logEvent(LogLevel::Info, "entry-stopping", {{"instance", m_instance}});
    const auto limit = std::chrono::steady_clock::now() + m_settings.stopLimit;
    const auto grace = std::chrono::steady_clock::now() + m_settings.stopGrace;
    m_stopping = true;
    std::mutex mutex;
    std::condition_variable idle;
    bool isIdle = false;
    m_dispatcher->requestStop([&] {
        const std::lock_guard lock(mutex);
        isIdle = true;
        idle.notify_one();
    });
    {
        std::unique_lock lock(mutex);
        idle.wait_until(lock, limit, [&] { return isIdle; });
    }
    // Callers with open connections learn of the stop from a refusal instead of a closed
    // connection.
    std::this_thread::sleep_until(grace);
    m_callerServer->closeListener();
    while (m_callerServer->pendingResponses() > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(writePollInterval);
    m_callerServer->stop();
    m_dispatcher->stop();
    logEvent(LogLevel::Info, "entry-stopped",
             {{"instance", m_instance}, {"all_requests_ended", isIdle}});
    return isIdle;
}

} // namespace Peridot
