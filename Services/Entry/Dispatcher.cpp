#include "Dispatcher.h"

#include "AnswerFormat.h"
#include <LibBase/Log.h>
#include <algorithm>
#include <asio/post.hpp>

namespace Peridot {

namespace {

// The kernel ends waiting requests and slot leases on ticks; deadlines are met within this time.
constexpr std::chrono::milliseconds tickInterval{5};

} // namespace

Dispatcher::Dispatcher(DispatcherSettings settings, EntryMetrics &metrics, RequestLog &log)
    : m_settings(std::move(settings)), m_metrics(metrics), m_log(log),
      m_work(asio::make_work_guard(m_context)), m_tickTimer(m_context), m_claimTimer(m_context),
      m_transport(std::make_unique<BackendTransport>(m_context, m_settings.transport,
                                                     [this] { performActions(); }))
{
}

Result<std::unique_ptr<Dispatcher>> Dispatcher::create(DispatcherSettings settings,
                                                       const ClaimStoreFactory &makeClaims,
                                                       EntryMetrics &metrics, RequestLog &log)
{
    std::unique_ptr<Dispatcher> dispatcher(new Dispatcher(std::move(settings), metrics, log));
    BOOST_LEAF_AUTO(kernel, RequestKernel::create(dispatcher->m_settings.kernel));
    dispatcher->m_kernel = std::move(kernel);
    dispatcher->m_claims = makeClaims(dispatcher->m_settings.kernel.instance,
                                      [raw = dispatcher.get()](std::function<void()> function) {
                                          raw->post(std::move(function));
                                      });
    return dispatcher;
}

Dispatcher::~Dispatcher()
{
    stop();
}

void Dispatcher::start()
{
    scheduleTick();
    m_thread = std::thread([this] { m_context.run(); });
}

void Dispatcher::stop()
{
    // The claim store may still post callbacks until it is destroyed.
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
    m_claims.reset();
    m_transport.reset();
}

void Dispatcher::post(std::function<void()> function)
{
    asio::post(m_context, std::move(function));
}

void Dispatcher::requestArrived(ValidRequest request, RequestMessage message,
                                std::shared_ptr<HttpResponder> responder)
{
    m_openCount.fetch_add(1, std::memory_order_relaxed);
    // Only the request that finds the list empty wakes the dispatcher.
    bool wake = false;
    {
        const std::lock_guard lock(m_arrivalMutex);
        wake = m_arrivals.empty();
        m_arrivals.push_back({std::move(request), std::move(message), std::move(responder)});
    }
    if (wake)
        asio::post(m_context, [this] { takeArrivals(); });
}

void Dispatcher::takeArrivals()
{
    {
        const std::lock_guard lock(m_arrivalMutex);
        m_arrivalBatch.swap(m_arrivals);
    }
    for (auto &arrival : m_arrivalBatch) {
        OpenRequest &open = m_requests[arrival.request.description.token];
        open.description = std::move(arrival.request.description);
        open.gate = std::move(arrival.request.gate);
        open.message = std::make_shared<const RequestMessage>(std::move(arrival.message));
        open.responder = std::move(arrival.responder);
        m_kernel->requestArrived(m_settings.clock(), open.description);
    }
    m_arrivalBatch.clear();
    performActions();
}

void Dispatcher::requestCancelled(RequestToken token)
{
    post([this, token] {
        if (m_requests.count(token) == 0)
            return;
        m_kernel->requestCancelled(m_settings.clock(), token);
        performActions();
    });
}

void Dispatcher::routingTableChanged(std::shared_ptr<const RoutingTable> table)
{
    post([this, table = std::move(table)] {
        m_table = table;
        m_servers.clear();
        for (const auto &server : table->backendServers)
            m_servers.emplace(server.name, server);
        updateConnectionLimits();
        m_kernel->routingTableChanged(m_settings.clock(), table);
        performActions();
    });
}

void Dispatcher::membersChanged(EntryMembers members)
{
    post([this, members = std::move(members)] {
        m_members = std::max<std::size_t>(members.instances.size(), 1);
        updateConnectionLimits();
        m_claims->setProcesses(m_settings.clock(), m_members);
        m_kernel->membersChanged(m_settings.clock(), members);
        performActions();
    });
}

void Dispatcher::leaseChanged(TimePoint end)
{
    post([this, end] {
        m_kernel->leaseChanged(m_settings.clock(), end);
        performActions();
    });
}

void Dispatcher::backendServerLeaving(std::string backendServer, bool leaving)
{
    post([this, backendServer = std::move(backendServer), leaving] {
        m_kernel->backendServerLeaving(m_settings.clock(), backendServer, leaving);
        performActions();
    });
}

void Dispatcher::peerMessageReceived(std::string instance, std::string message)
{
    post([this, instance = std::move(instance), message = std::move(message)] {
        m_kernel->peerMessageReceived(m_settings.clock(), instance, message);
        performActions();
    });
}

void Dispatcher::requestStop(std::function<void()> onIdle)
{
    post([this, onIdle = std::move(onIdle)] {
        m_stopping = true;
        m_onIdle = onIdle;
        m_kernel->stopRequested(m_settings.clock());
        performActions();
    });
}

void Dispatcher::dumpState(std::function<void(std::string)> callback)
{
    post([this, callback = std::move(callback)] {
        callback(m_kernel->dumpState(m_settings.clock()));
    });
}

// The limit of a backend server holds over all entry processes.
void Dispatcher::updateConnectionLimits()
{
    std::vector<ConnectionLimit> limits;
    limits.reserve(m_servers.size());
    for (const auto &[name, server] : m_servers) {
        const auto part = static_cast<unsigned>(server.connections / m_members);
        limits.push_back({server.address, server.port, std::max(part, 1U)});
    }
    m_transport->setConnectionLimits(limits);
}

const BackendServerRoute *Dispatcher::findServer(const std::string &name) const
{
    const auto found = m_servers.find(name);
    return found == m_servers.end() ? nullptr : &found->second;
}

void Dispatcher::performActions()
{
    // Carrying out an action never calls the kernel, so the loop ends when the kernel is idle.
    for (auto actions = m_kernel->takeActions(); !actions.empty();
         actions = m_kernel->takeActions()) {
        for (auto &action : actions)
            std::visit([this](auto &specific) { perform(specific); }, action);
    }
    scheduleClaims();
}

void Dispatcher::scheduleClaims()
{
    const TimePoint now = m_settings.clock();
    const auto next = m_claims->nextTick(now);
    if (!next || (m_claimTimerEnd && *m_claimTimerEnd <= *next))
        return;
    m_claimTimerEnd = *next;
    m_claimTimer.runAfter(std::max(*next - now, Duration(0)), [this] {
        m_claimTimerEnd.reset();
        m_claims->tick(m_settings.clock());
        performActions();
    });
}

void Dispatcher::perform(StartAttempt &action)
{
    const auto found = m_requests.find(action.token);
    const BackendServerRoute *server = findServer(action.backendServer);
    const bool mayServe = !m_settings.mayServe || m_settings.mayServe();
    if (found == m_requests.end() || server == nullptr || !mayServe) {
        // The server left the routing table between the decision and the attempt, or this process
        // was paused in between and may act on an outdated configuration.
        post([this, action] {
            attemptFinished(action.token, action.attempt, action.backendServer, {});
            performActions();
        });
        return;
    }
    OpenRequest &open = found->second;
    ++open.attempts;
    open.backendServer = action.backendServer;
    BackendRequest request;
    request.address = server->address;
    request.port = server->port;
    request.message = open.message;
    request.requestId = open.description.requestId;
    request.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(action.deadline
                                                                            - m_settings.clock());
    m_transport->start(std::move(request), [this, token = action.token, attempt = action.attempt,
                                            name = action.backendServer](BackendAnswer answer) {
        attemptFinished(token, attempt, name, std::move(answer));
    });
}

void Dispatcher::attemptFinished(RequestToken token, std::uint64_t attempt,
                                 const std::string &server, BackendAnswer answer)
{
    const TimePoint now = m_settings.clock();
    m_metrics.attempt(answer.status);
    if (answer.leaving) {
        logEvent(LogLevel::Info, "backend-server-leaving", {{"backend_server", server}});
        m_kernel->backendServerLeaving(now, server, true);
    }
    const AttemptStatus status = answer.status;
    std::shared_ptr<const RecordedAnswer> recorded;
    const auto found = m_requests.find(token);
    if (status != AttemptStatus::Answered) {
        logEvent(
            LogLevel::Warning, "attempt-failed",
            {{"request_id", found == m_requests.end() ? "" : found->second.description.requestId},
             {"backend_server", server},
             {"status", attemptStatusNames.nameOf(status)},
             {"detail", answer.detail}});
    }
    if (found != m_requests.end()) {
        OpenRequest &open = found->second;
        if (status == AttemptStatus::Answered) {
            recorded = recordAnswer(answer, !open.description.idempotent);
            open.answeredAttempt = attempt;
            open.answer = std::move(answer);
        } else {
            open.failure = std::string(attemptStatusNames.nameOf(status)) + " at " + server;
        }
    }
    m_kernel->attemptFinished(now, attempt, status, recorded);
}

void Dispatcher::perform(ReadClaim &action)
{
    m_claims->read(m_settings.clock(), action.key,
                   [this, token = action.token](ReadStatus status, const Row &row) {
                       m_kernel->claimRead(m_settings.clock(), token, status, row);
                       performActions();
                   });
}

void Dispatcher::perform(CommitClaim &action)
{
    m_claims->commit(m_settings.clock(), action,
                     [this, token = action.token](const CommitResult &result) {
                         m_kernel->claimCommitted(m_settings.clock(), token, result);
                         performActions();
                     });
}

void Dispatcher::perform(AnswerRequest &action)
{
    const auto found = m_requests.find(action.token);
    if (found == m_requests.end())
        return;
    OpenRequest open = std::move(found->second);
    m_requests.erase(found);
    ResponseMessage response = responseOf(open, action);
    const Duration duration = m_settings.clock() - open.description.arrival;
    m_metrics.finished(open.description.service, action.outcome, action.reason, duration);
    RequestRecord record;
    record.requestId = std::move(open.description.requestId);
    record.service = std::move(open.description.service);
    record.backendServer = std::move(open.backendServer);
    record.outcome = outcomeNames.nameOf(action.outcome);
    record.reason = refusalReasonNames.nameOf(action.reason);
    record.status = response.status;
    record.attempts = open.attempts;
    record.duration = duration;
    m_log.add(std::move(record));
    open.responder->send(std::move(response));
    open.gate->leave();
    m_openCount.fetch_sub(1, std::memory_order_relaxed);
}

ResponseMessage Dispatcher::responseOf(OpenRequest &request, const AnswerRequest &action) const
{
    if (action.outcome == Outcome::Answer) {
        ResponseMessage response = action.recorded ? formatRecorded(*action.recorded)
                                                   : formatAnswer(std::move(request.answer));
        response.closeConnection = m_stopping;
        return response;
    }
    Refusal refusal;
    refusal.outcome = action.outcome;
    refusal.reason = action.reason;
    refusal.detail = request.failure;
    refusal.requestId = request.description.requestId;
    refusal.retryAfter = action.retryAfter;
    refusal.closeConnection = m_stopping;
    return formatRefusal(refusal);
}

void Dispatcher::perform(SendPeerMessage &action)
{
    if (m_settings.sendPeerMessage)
        m_settings.sendPeerMessage(action.instance, action.message);
}

void Dispatcher::scheduleTick()
{
    m_tickTimer.runAfter(tickInterval, [this] { tick(); });
}

void Dispatcher::tick()
{
    m_kernel->tick(m_settings.clock());
    performActions();
    if (m_stopping && m_onIdle && m_kernel->openRequests() == 0 && m_requests.empty())
        std::exchange(m_onIdle, nullptr)();
    scheduleTick();
}

} // namespace Peridot
