#include <LibMembership/MembershipAgent.h>

#include <LibBase/Log.h>
#include <asio/post.hpp>
#include <utility>

namespace Peridot {

namespace {

constexpr auto tickPeriod = std::chrono::milliseconds(50);

// A state without a lease is only published this far ahead, so that a paused process loses it.
constexpr Duration lookAhead = std::chrono::milliseconds(100);

std::int64_t nanoseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

} // namespace

MembershipAgent::MembershipAgent(MembershipAgentSettings settings, Store &store,
                                 MembershipHooks hooks)
    : m_settings(std::move(settings)), m_hooks(std::move(hooks)),
      m_work(asio::make_work_guard(*m_context)), m_timer(*m_context),
      m_socket(*m_context, m_settings.peer,
               [this](const std::string &message) { return messageReceived(message); }),
      m_store(&store)
{
}

MembershipAgent::MembershipAgent(MembershipAgentSettings settings, const StoreFactory &makeStore,
                                 MembershipHooks hooks)
    : m_settings(std::move(settings)), m_hooks(std::move(hooks)),
      m_work(asio::make_work_guard(*m_context)), m_timer(*m_context),
      m_socket(*m_context, m_settings.peer,
               [this](const std::string &message) { return messageReceived(message); }),
      m_ownedStore(makeStore(*m_context)), m_store(m_ownedStore.get())
{
}

void MembershipAgent::setServiceAddress(const std::string &address)
{
    m_settings.node.self.serviceAddress = address;
}

MembershipAgent::~MembershipAgent()
{
    if (m_thread.joinable())
        stop();
}

Result<void> MembershipAgent::start()
{
    BOOST_LEAF_CHECK(m_socket.open());
    if (m_settings.node.self.peerAddress.empty())
        m_settings.node.self.peerAddress = m_socket.localAddress();
    m_node = std::make_unique<MembershipNode>(m_settings.node);
    asio::post(*m_context, [this] { tick(); });
    m_thread = std::thread([this] { m_context->run(); });
    return {};
}

bool MembershipAgent::stop()
{
    if (!m_thread.joinable())
        return m_released;
    m_fullUntil = 0;
    m_idempotentUntil = 0;
    auto released = m_stopFinished.get_future();
    asio::post(*m_context, [this] {
        m_node->stop();
        m_stopDeadline = now() + m_settings.stopLimit;
        afterEvent();
    });
    released.wait();
    m_released = released.get();
    asio::post(*m_context, [this] {
        m_timer.cancel();
        m_socket.close();
        m_context->stop();
    });
    m_thread.join();
    if (!m_released)
        logEvent(LogLevel::Warning, "membership-release-incomplete");
    return m_released;
}

ServingState MembershipAgent::servingState() const
{
    const std::int64_t time = nanoseconds(now());
    if (time < m_fullUntil)
        return ServingState::Full;
    if (time < m_idempotentUntil)
        return ServingState::IdempotentOnly;
    return m_refusal;
}

void MembershipAgent::sendPeerMessage(const std::string &instance, const std::string &message)
{
    post([instance, message](MembershipNode &node, TimePoint) {
        node.sendPeerMessage(instance, message);
    });
}

void MembershipAgent::post(std::function<void(MembershipNode &node, TimePoint now)> work)
{
    asio::post(*m_context, [this, work = std::move(work)] {
        work(*m_node, now());
        afterEvent();
    });
}

void MembershipAgent::tick()
{
    const TimePoint time = now();
    m_node->tick(time);
    if (m_hooks.onTick)
        m_hooks.onTick(*m_node, time);
    afterEvent();
    checkStop(time);
    m_timer.runAfter(tickPeriod, [this] { tick(); });
}

void MembershipAgent::checkStop(TimePoint time)
{
    if (!m_stopDeadline || (!m_node->stopped() && time < *m_stopDeadline))
        return;
    m_stopDeadline.reset();
    m_stopFinished.set_value(m_node->stopped());
}

bool MembershipAgent::messageReceived(const std::string &message)
{
    const bool accepted = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_node->datagramReceived(now(), message));
            return true;
        },
        [](const Error &) { return false; });
    afterEvent();
    return accepted;
}

void MembershipAgent::afterEvent()
{
    performStoreRequests();
    for (const auto &datagram : m_node->takeDatagrams())
        m_socket.send(datagram.address, datagram.message);
    publish(now());
    for (const auto &[instance, message] : m_node->takePeerMessages()) {
        if (m_hooks.onPeerMessage)
            m_hooks.onPeerMessage(instance, message);
    }
}

void MembershipAgent::performStoreRequests()
{
    for (auto &pending : m_node->takeStoreRequests(now())) {
        auto *protocol = pending.protocol;
        // The answer may arrive on another thread, and after the agent has stopped. The context
        // then exists and runs nothing any more.
        const auto reply = [this, context = m_context, protocol](StoreReply result) {
            asio::post(*context, [this, protocol, result = std::move(result)] {
                m_node->storeFinished(now(), protocol, result);
                afterEvent();
            });
        };
        if (const auto *transaction = std::get_if<Transaction>(&pending.request))
            m_store->commit(*transaction, [reply](const CommitResult &result) { reply(result); });
        else if (const auto *read = std::get_if<ReadRows>(&pending.request))
            m_store->read(read->keys, [reply](const ReadResult &result) { reply(result); });
        else if (const auto *scan = std::get_if<ScanRows>(&pending.request))
            m_store->scan(scan->prefix, scan->startAfter, scan->limit,
                          [reply](const ReadResult &result) { reply(result); });
    }
}

void MembershipAgent::publish(TimePoint time)
{
    // The version is in force in the process before any state that follows from it is published.
    if (const auto version = m_node->takeAdopted()) {
        logEvent(LogLevel::Info, "configuration-adopted", {{"version", *version}});
        if (m_hooks.onConfiguration)
            m_hooks.onConfiguration(*version, m_node->configuration().manifest());
    }
    publishMembers(time);
    const ServingState state = m_node->servingState(time);
    const auto fullUntil = m_node->fullUntil(time);
    m_fullUntil = fullUntil ? nanoseconds(*fullUntil) : 0;
    // Also computed while the state is Full, so that there is no gap between the two.
    const bool contact = m_node->servingState(time + lookAhead) == ServingState::IdempotentOnly;
    m_idempotentUntil = contact ? nanoseconds(time + lookAhead) : 0;
    m_refusal = Peridot::mayServe(state) ? ServingState::Isolated : state;
    if (std::exchange(m_publishedState, state) != state)
        logEvent(LogLevel::Info, "serving-state", {{"state", servingStateNames.nameOf(state)}});
    // Claims rest on the lease alone; without evidence no attempt is made under them.
    const bool leased = state != ServingState::NoConfiguration && !m_node->stopping();
    const TimePoint published = leased ? m_node->leaseEnd(time).value_or(TimePoint{}) : TimePoint{};
    if (published != std::exchange(m_publishedLeaseEnd, published) && m_hooks.onLease)
        m_hooks.onLease(published);
}

void MembershipAgent::publishMembers(TimePoint time)
{
    EntryMembers members;
    members.epoch = m_node->members().view().epoch;
    members.instances = m_node->liveInstances(time, MemberRole::Entry);
    if (m_membersKnown && members.epoch == m_members.epoch
        && members.instances == m_members.instances)
        return;
    m_membersKnown = true;
    m_members = std::move(members);
    if (m_hooks.onMembersChanged)
        m_hooks.onMembersChanged(m_members);
}

} // namespace Peridot
