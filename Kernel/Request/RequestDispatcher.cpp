#include "RequestDispatcher.h"

#include <LibBase/Json.h>
#include <algorithm>

namespace Peridot {

namespace {

/// The limit on the duration of an attempt is the longest deadline of a service, but at least this.
constexpr Duration minimumAttemptLimit = std::chrono::seconds(10);
/// If this much time passes between two events, the process was not running in between (stopped or
/// not scheduled), because ticks are far more frequent.
constexpr Duration pauseDetectionTime = std::chrono::seconds(2);
/// A process that resumes without a live lease dispatches nothing until it receives a membership
/// view or a lease. If neither arrives because the store is down, it continues after this time.
constexpr Duration resumeDelay = std::chrono::seconds(1);
/// Outcomes that the store has not accepted within this time after a stop are discarded.
constexpr Duration stopRecordLimit = std::chrono::seconds(20);
/// Number of times that Gone is sent to the peers, because messages may be lost.
constexpr unsigned goneMessageLimit = 3;

} // namespace

Result<std::unique_ptr<RequestKernel>> RequestKernel::create(const RequestKernelSettings &settings)
{
    BOOST_LEAF_AUTO(admission, AdmissionRegistry::create(settings.admissionPolicy));
    BOOST_LEAF_AUTO(routing, RoutingRegistry::create(settings.routingPolicy));
    return std::unique_ptr<RequestKernel>(
        std::make_unique<RequestDispatcher>(settings, std::move(admission), std::move(routing)));
}

RequestDispatcher::RequestDispatcher(const RequestKernelSettings &settings,
                                     std::unique_ptr<AdmissionPolicy> admission,
                                     std::unique_ptr<RoutingPolicy> routing)
    : m_settings(settings), m_admission(std::move(admission)),
      m_pool(settings.instance, std::move(routing), settings.seed),
      m_claims(settings.instance, settings.seed + 1, settings.defects, claimHooks()),
      m_attemptLimit(minimumAttemptLimit)
{
    m_pool.waitingRequests = [this](ServiceIndex service) {
        return m_admission->waiting(service);
    };
}

void RequestDispatcher::routingTableChanged(TimePoint now,
                                            std::shared_ptr<const RoutingTable> table)
{
    advance(now);
    if (m_table && table->version < m_table->version)
        return;
    m_table = std::move(table);
    for (Service &service : m_services)
        service.inRoutingTable = false;
    m_attemptLimit = minimumAttemptLimit;
    for (const ServiceRoute &route : m_table->services) {
        const auto [found, added]
            = m_serviceIndex.emplace(route.name, static_cast<ServiceIndex>(m_services.size()));
        if (added) {
            m_services.emplace_back().name = route.name;
            m_services.back().budget = RetryBudget(m_settings.retries);
        }
        m_services[found->second].inRoutingTable = true;
        m_admission->setService(found->second, route.weight);
        m_attemptLimit = std::max(m_attemptLimit, route.deadline);
    }
    for (ServiceIndex service = 0; service < m_services.size(); ++service) {
        if (!m_services[service].inRoutingTable)
            m_admission->setService(service, 0);
    }
    m_pool.exchange().setAttemptLimit(m_attemptLimit);
    m_pool.tableChanged(now, *m_table, m_serviceIndex);
    m_admission->setCapacity(m_pool.capacity());
    refuseWithoutServers(now);
    finishEvent(now);
}

void RequestDispatcher::membersChanged(TimePoint now, const EntryMembers &members)
{
    advance(now);
    m_suspendedUntil.reset();
    m_members = {members.instances.begin(), members.instances.end()};
    m_isMember = m_members.contains(m_settings.instance);
    m_pool.membersChanged(now, members);
    m_admission->setCapacity(m_pool.capacity());
    finishEvent(now);
}

void RequestDispatcher::backendServerLeaving(TimePoint now, const std::string &backendServer,
                                             bool leaving)
{
    advance(now);
    m_pool.serverLeaving(now, backendServer, leaving);
    refuseWithoutServers(now);
    finishEvent(now);
}

void RequestDispatcher::refuseWithoutServers(TimePoint now)
{
    for (ServiceIndex service = 0; service < m_services.size(); ++service) {
        if (m_pool.hasServer(service))
            continue;
        while (QueuedRequest *node = m_admission->queue(service).oldestHead()) {
            RequestState &request = *find(node->token);
            m_admission->remove(*node);
            if (request.claimed)
                releaseClaim(now, request, RefusalReason::NoBackendServer);
            else
                refuse(now, request, RefusalReason::NoBackendServer);
        }
    }
}

void RequestDispatcher::leaseChanged(TimePoint now, TimePoint leaseEnd)
{
    advance(now);
    m_leaseEnd = leaseEnd;
    if (leaseIsLive(now))
        m_suspendedUntil.reset();
    finishEvent(now);
}

void RequestDispatcher::peerMessageReceived(TimePoint now, const std::string &instance,
                                            const std::string &message)
{
    advance(now);
    const auto decoded = valueOrElse(
        [&]() -> Result<std::optional<SlotMessage>> {
            BOOST_LEAF_AUTO(value, decodeSlotMessage(message));
            return std::optional<SlotMessage>(std::move(value));
        },
        [](const Error &) { return std::optional<SlotMessage>(); });
    if (decoded)
        m_pool.exchange().messageReceived(now, instance, *decoded);
    else
        ++m_invalidMessages;
    finishEvent(now);
}

void RequestDispatcher::tick(TimePoint now)
{
    advance(now);
    m_claims.tick(now);
    if (m_stopping && openRequests() == 0 && m_goneMessages < goneMessageLimit) {
        ++m_goneMessages;
        m_pool.exchange().announceGone(now);
    }
    finishEvent(now);
}

void RequestDispatcher::stopRequested(TimePoint now)
{
    advance(now);
    m_stopping = true;
    m_pool.exchange().stop();
    m_claims.stopAt(now + stopRecordLimit);
    finishEvent(now);
}

void RequestDispatcher::advance(TimePoint now)
{
    if (now - m_lastEvent > pauseDetectionTime && !leaseIsLive(now) && m_lastEvent != TimePoint())
        m_suspendedUntil = now + resumeDelay;
    m_lastEvent = std::max(m_lastEvent, now);
    if (m_suspendedUntil && now >= *m_suspendedUntil)
        m_suspendedUntil.reset();
    m_pool.advance(now);
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        RequestState &request = *find(m_timers.begin()->second);
        clearTimer(request);
        timerExpired(now, request);
    }
}

void RequestDispatcher::setTimer(RequestState &request, TimePoint time)
{
    clearTimer(request);
    request.timer = time;
    m_timers.insert({time, request.token});
}

void RequestDispatcher::clearTimer(RequestState &request)
{
    if (request.timer)
        m_timers.erase({*request.timer, request.token});
    request.timer.reset();
}

void RequestDispatcher::timerExpired(TimePoint now, RequestState &request)
{
    const bool deadlinePassed = now >= request.deadline;
    const RefusalReason reason
        = deadlinePassed ? RefusalReason::DeadlineExceeded : RefusalReason::StoreUnavailable;
    if (request.phase == Phase::Queued) {
        removeFromQueue(request);
        if (request.claimed)
            releaseClaim(now, request, reason);
        else
            refuse(now, request, reason);
        return;
    }
    if (request.phase == Phase::Refusing) {
        refuse(now, request, request.reason);
        return;
    }
    if (!deadlinePassed)
        m_claims.breaker().failed(now);
    freeSlot(now, request, AttemptResult::None);
    refuse(now, request, reason);
}

void RequestDispatcher::finishEvent(TimePoint now)
{
    dispatchWaiting(now);
    SlotExchange &exchange = m_pool.exchange();
    if (!m_pool.dividesSlots() || !exchange.pollDue(now))
        return;
    std::map<std::string, unsigned> waiting;
    m_admission->forEachWaitingService([&](ServiceIndex service) {
        waiting[m_services[service].name] = static_cast<unsigned>(m_admission->waiting(service));
    });
    exchange.poll(now, waiting);
    for (SendPeerMessage &message : exchange.takeMessages())
        m_actions.emplace_back(std::move(message));
}

RequestState *RequestDispatcher::find(RequestToken token)
{
    const auto found = m_requests.find(token);
    return found == m_requests.end() ? nullptr : &found->second;
}

std::vector<RequestAction> RequestDispatcher::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t RequestDispatcher::openRequests() const
{
    return m_requests.size() + m_claims.background();
}

std::string RequestDispatcher::dumpState(TimePoint now) const
{
    Json::Value state(Json::objectValue);
    state["instance"] = m_settings.instance;
    state["admission"] = m_settings.admissionPolicy;
    state["routing"] = m_settings.routingPolicy;
    state["table_version"] = Json::UInt64(m_table ? m_table->version : 0);
    state["members"] = Json::UInt64(m_members.size());
    state["epoch"] = Json::UInt64(m_pool.exchange().epoch());
    state["stopping"] = m_stopping;
    state["suspended"] = m_suspendedUntil.has_value();
    state["lease_live"] = leaseIsLive(now);
    state["open_requests"] = Json::UInt64(openRequests());
    state["claims_in_progress"] = Json::UInt64(m_claiming);
    state["attempts_in_flight"] = Json::UInt64(m_attempts.size());
    state["invalid_peer_messages"] = Json::UInt64(m_invalidMessages);
    Json::Value &slots = state["slots"];
    slots["owned"] = Json::UInt64(m_pool.exchange().ownedSlots());
    slots["lent"] = Json::UInt64(m_pool.exchange().lentSlots());
    slots["borrowed"] = Json::UInt64(m_pool.exchange().borrowedSlots());
    slots["unconfirmed_peers"] = Json::UInt64(m_pool.exchange().unconfirmedPeers());
    Json::Value &claims = state["claims"];
    claims["open"] = Json::UInt64(m_claims.size());
    claims["refusals_in_progress"] = Json::UInt64(m_claims.refusals());
    claims["background"] = Json::UInt64(m_claims.background());
    claims["anomalies"] = Json::UInt64(m_claims.anomalies());
    claims["unrecorded"] = Json::UInt64(m_claims.unrecorded());
    claims["store_breaker_open"] = m_claims.breaker().open();
    Json::Value &services = state["services"] = Json::Value(Json::objectValue);
    for (ServiceIndex index = 0; index < m_services.size(); ++index) {
        Json::Value &service = services[m_services[index].name];
        service = m_services[index].counters.toJson();
        service["queued"] = Json::UInt64(m_admission->waiting(index));
        service["in_flight"] = Json::UInt64(m_admission->slotsInUse(index));
        service["slots_in_use"] = Json::UInt64(m_admission->slotsInUse(index));
        service["slots_owned"] = m_admission->shareOf(index);
        service["retry_budget"] = RetryBudget(m_services[index].budget).balance(now);
    }
    state["backend_servers"] = m_pool.dump();
    return writeJson(state);
}

} // namespace Peridot
