#pragma once

#include <Kernel/Membership/MembershipNode.h>
#include <LibBase/Random.h>
#include <LibStore/MemoryStore.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Peridot {

struct VirtualMembersSettings
{
    std::uint64_t seed = 1;
    std::size_t entryMembers = 7;
    std::size_t fleetMembers = 7;
    MembershipTiming timing;
    MembershipDefects defects;
    bool push = true;
    Duration tick = std::chrono::milliseconds(10); ///< period of MembershipNode::tick()
    Duration storeDelay = std::chrono::milliseconds(2); ///< shortest time of a store call
    Duration storeJitter = std::chrono::milliseconds(3); ///< mean of the exponential addition
    Duration messageDelay = std::chrono::microseconds(1500);
    Duration messageJitter = std::chrono::microseconds(200); ///< mean of the exponential addition
    double messageLoss = 0;
    double messageDuplicate = 0;
    double messageLate = 0; ///< probability of an extra delay of up to 3 s
    double clockRate = 0.01; ///< largest deviation of the rate of a member's clock
};

/// Processes of the same membership parts over one in-memory store and simulated datagrams, in
/// virtual time. Everything follows from the seed.
class VirtualMembers
{
public:
    struct Member
    {
        std::string instance;
        MemberDescription description;
        std::unique_ptr<MembershipNode> node;
        bool crashed = false;
        bool frozen = false;
        bool storeCut = false;
        bool peersCut = false;
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        double rate = 1.0;
        Duration offset{0};
        std::vector<std::function<void()>> deferred; ///< events that arrived while frozen
    };

    explicit VirtualMembers(VirtualMembersSettings settings);

    TimePoint now() const { return m_store.now(); }
    /// The clock of a member differs from now() in offset and rate.
    TimePoint clockOf(const Member &member) const;
    MemoryStore &store() { return m_store; }
    RandomSource &random() { return m_random; }
    std::vector<Member> &members() { return m_members; }
    std::size_t fleetIndex(std::size_t index) const { return m_settings.entryMembers + index; }

    void run(Duration duration);
    /// Runs until \a done or for at most \a limit. Returns whether it is done.
    bool runUntil(const std::function<bool()> &done, Duration limit);
    /// Runs after every tick and event.
    void setObserver(std::function<void()> observer) { m_observer = std::move(observer); }
    void setStoreDelay(Duration shortest, Duration jitter);

    void crash(std::size_t index);
    /// Starts a new process at the address of a crashed one.
    void restart(std::size_t index);
    void freeze(std::size_t index);
    void thaw(std::size_t index);

    /// Fleet member that holds the lease, or nothing.
    Member *holderOf(const std::string &lease);
    bool serves(Member &member) const;

private:
    void start(std::size_t index);
    void tick();
    void perform(std::size_t index);
    void call(std::size_t index, const MembershipNode::PendingRequest &pending);
    void send(std::size_t from, const PeerDatagram &datagram);
    void deliver(std::size_t index, const std::string &instance, std::function<void()> event);
    Duration storeDelay();

    VirtualMembersSettings m_settings;
    RandomSource m_random;
    MemoryStore m_store;
    std::vector<Member> m_members;
    std::map<std::string, std::size_t> m_byAddress;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::function<void()> m_observer;
    TimePoint m_nextTick;
    std::uint64_t m_startCount = 0;
};

} // namespace Peridot
