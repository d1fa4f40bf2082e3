#include <VirtualMembers/VirtualMembers.h>

#include <utility>

namespace Peridot {

namespace {

// A client of the table service gives a call up after this time.
constexpr Duration storeTimeout = std::chrono::seconds(3);
constexpr Duration longestLateMessage = std::chrono::seconds(3);
const TimePoint startTime{std::chrono::seconds(1'700'000'000)};

} // namespace

VirtualMembers::VirtualMembers(VirtualMembersSettings settings)
    : m_settings(settings), m_random(m_settings.seed), m_store(m_settings.seed),
      m_nextTick(startTime)
{
    m_store.advanceTo(startTime);
    m_members.resize(m_settings.entryMembers + m_settings.fleetMembers);
    for (std::size_t index = 0; index < m_members.size(); ++index)
        start(index);
}

void VirtualMembers::start(std::size_t index)
{
    Member &member = m_members[index];
    const bool entry = index < m_settings.entryMembers;
    member.instance = (entry ? "entry-" : "fleet-") + std::to_string(index) + '.'
                      + std::to_string(++m_startCount);
    member.description.instance = member.instance;
    member.description.role = entry ? MemberRole::Entry : MemberRole::Fleet;
    member.description.peerAddress = "127.0.0.1:" + std::to_string(7000 + index);
    member.description.dataCentre = "dc-" + std::to_string(index % 3);
    member.rate = 1.0 + (m_random.unit() * 2 - 1) * m_settings.clockRate;
    member.offset = std::chrono::milliseconds(m_random.below(4000));
    m_byAddress[member.description.peerAddress] = index;
    MembershipNodeSettings settings;
    settings.self = member.description;
    settings.timing = m_settings.timing;
    settings.defects = m_settings.defects;
    settings.push = m_settings.push;
    for (std::size_t peer = 0; peer < m_members.size(); ++peer)
        settings.peers.push_back("127.0.0.1:" + std::to_string(7000 + peer));
    member.node = std::make_unique<MembershipNode>(std::move(settings));
    member.crashed = false;
    member.frozen = false;
    member.deferred.clear();
}

TimePoint VirtualMembers::clockOf(const Member &member) const
{
    const auto elapsed = (m_store.now() - startTime).count();
    const Duration drift(
        static_cast<std::int64_t>(static_cast<double>(elapsed) * (member.rate - 1.0)));
    return m_store.now() + drift + member.offset;
}

void VirtualMembers::setStoreDelay(Duration shortest, Duration jitter)
{
    m_settings.storeDelay = shortest;
    m_settings.storeJitter = jitter;
}

Duration VirtualMembers::storeDelay()
{
    const double jitter = static_cast<double>(m_settings.storeJitter.count());
    return m_settings.storeDelay
           + Duration(jitter > 0 ? static_cast<std::int64_t>(m_random.exponential(jitter)) : 0);
}

void VirtualMembers::run(Duration duration)
{
    runUntil([] { return false; }, duration);
}

bool VirtualMembers::runUntil(const std::function<bool()> &done, Duration limit)
{
    const TimePoint end = now() + limit;
    while (!done()) {
        TimePoint next = m_nextTick;
        if (!m_events.empty())
            next = std::min(next, m_events.begin()->first);
        if (const auto event = m_store.nextEvent())
            next = std::min(next, *event);
        if (next > end) {
            m_store.advanceTo(end);
            return done();
        }
        m_store.advanceTo(next);
        while (!m_events.empty() && m_events.begin()->first <= next) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        if (m_nextTick <= next)
            tick();
        if (m_observer)
            m_observer();
    }
    return true;
}

void VirtualMembers::tick()
{
    m_nextTick = now() + m_settings.tick;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        Member &member = m_members[index];
        if (member.crashed || member.frozen)
            continue;
        member.node->tick(clockOf(member));
        perform(index);
    }
}

void VirtualMembers::perform(std::size_t index)
{
    Member &member = m_members[index];
    for (const auto &pending : member.node->takeStoreRequests(clockOf(member)))
        call(index, pending);
    for (const auto &datagram : member.node->takeDatagrams())
        send(index, datagram);
    member.node->takeAdopted();
}

void VirtualMembers::call(std::size_t index, const MembershipNode::PendingRequest &pending)
{
    Member &member = m_members[index];
    const bool write = std::holds_alternative<Transaction>(pending.request);
    ++(write ? member.writes : member.reads);
    const std::string instance = member.instance;
    auto *protocol = pending.protocol;
    auto reply = [this, index, instance, protocol](const StoreReply &result) {
        deliver(index, instance, [this, index, protocol, result] {
            Member &target = m_members[index];
            target.node->storeFinished(clockOf(target), protocol, result);
        });
    };
    if (member.storeCut) {
        m_events.emplace(now() + storeTimeout, [reply, write] {
            if (write)
                reply(CommitResult{CommitStatus::Unknown, {}, absentVersion});
            else
                reply(ReadResult{});
        });
        return;
    }
    m_events.emplace(now() + storeDelay(), [this, reply, request = pending.request] {
        if (const auto *transaction = std::get_if<Transaction>(&request))
            m_store.commit(*transaction, [reply](const CommitResult &result) { reply(result); });
        else if (const auto *read = std::get_if<ReadRows>(&request))
            m_store.read(read->keys, [reply](const ReadResult &result) { reply(result); });
        else if (const auto *scan = std::get_if<ScanRows>(&request))
            m_store.scan(scan->prefix, scan->startAfter, scan->limit,
                         [reply](const ReadResult &result) { reply(result); });
    });
}

void VirtualMembers::send(std::size_t from, const PeerDatagram &datagram)
{
    const auto target = m_byAddress.find(datagram.address);
    if (target == m_byAddress.end() || m_members[from].peersCut
        || m_random.unit() < m_settings.messageLoss)
        return;
    const std::size_t index = target->second;
    const int copies = m_random.unit() < m_settings.messageDuplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        Duration delay = m_settings.messageDelay
                         + Duration(static_cast<std::int64_t>(m_random.exponential(
                             static_cast<double>(m_settings.messageJitter.count()))));
        if (m_random.unit() < m_settings.messageLate)
            delay
                += Duration(m_random.below(static_cast<std::uint64_t>(longestLateMessage.count())));
        m_events.emplace(now() + delay, [this, index, message = datagram.message] {
            if (m_members[index].peersCut)
                return;
            deliver(index, m_members[index].instance, [this, index, message] {
                Member &member = m_members[index];
                valueOrElse(
                    [&]() -> Result<int> {
                        BOOST_LEAF_CHECK(member.node->datagramReceived(clockOf(member), message));
                        return 0;
                    },
                    [](const Error &) { return 0; });
            });
        });
    }
}

void VirtualMembers::deliver(std::size_t index, const std::string &instance,
                             std::function<void()> event)
{
    Member &member = m_members[index];
    if (member.crashed || member.instance != instance)
        return;
    if (member.frozen) {
        member.deferred.push_back(std::move(event));
        return;
    }
    event();
    perform(index);
}

void VirtualMembers::crash(std::size_t index)
{
    m_members[index].crashed = true;
}

void VirtualMembers::restart(std::size_t index)
{
    start(index);
}

void VirtualMembers::freeze(std::size_t index)
{
    m_members[index].frozen = true;
}

void VirtualMembers::thaw(std::size_t index)
{
    Member &member = m_members[index];
    if (!std::exchange(member.frozen, false) || member.crashed)
        return;
    for (const auto &event : std::exchange(member.deferred, {})) {
        event();
        perform(index);
    }
}

VirtualMembers::Member *VirtualMembers::holderOf(const std::string &lease)
{
    for (auto &member : m_members) {
        if (!member.crashed && !member.frozen
            && member.node->heldLeases(clockOf(member)).count(lease) != 0)
            return &member;
    }
    return nullptr;
}

bool VirtualMembers::serves(Member &member) const
{
    return !member.crashed && !member.frozen
           && mayServe(member.node->servingState(clockOf(member)));
}

} // namespace Peridot
