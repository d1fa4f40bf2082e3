#pragma once

#include <Kernel/Membership/MembershipNode.h>
#include <Kernel/Request/RequestKernel.h>
#include <LibBase/Error.h>
#include <LibBase/OneShotTimer.h>
#include <LibMembership/ProcessClock.h>
#include <LibPeer/PeerSocket.h>
#include <LibStore/Store.h>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace Peridot {

struct MembershipAgentSettings
{
    MembershipNodeSettings node; ///< self.peerAddress may be empty: the bound address is used
    PeerSocketSettings peer;
    std::function<TimePoint()> clock = processNow;
    Duration stopLimit = std::chrono::seconds(3); ///< for releasing the leases in stop()
};

/// Called on the thread of the agent. A hook must not block and must not destroy the agent.
struct MembershipHooks
{
    /// Reports the entry processes that hold a lease or exchange peer messages with this process,
    /// and the epoch of the view.
    std::function<void(const EntryMembers &)> onMembersChanged;
    /// Reports a higher configuration version, which is in force in this process when the call
    /// returns.
    std::function<void(std::uint64_t version, const std::string &manifest)> onConfiguration;
    /// Reports the end of the lease under which this process may write claims; the epoch of the
    /// clock when it has none.
    std::function<void(TimePoint leaseEnd)> onLease;
    std::function<void(const std::string &instance, const std::string &message)> onPeerMessage;
    /// Runs after every tick, for components that share the thread.
    std::function<void(MembershipNode &node, TimePoint now)> onTick;
};

/// Runs the MembershipNode of one process over a store and a peer socket, on a thread of its own.
class MembershipAgent
{
public:
    using StoreFactory = std::function<std::unique_ptr<Store>(asio::io_context &)>;

    /// The callbacks of \a store may run on any thread while the agent exists.
    MembershipAgent(MembershipAgentSettings settings, Store &store, MembershipHooks hooks);
    /// Creates a store that runs on the context of the agent and is destroyed with it.
    MembershipAgent(MembershipAgentSettings settings, const StoreFactory &makeStore,
                    MembershipHooks hooks);
    ~MembershipAgent();
    MembershipAgent(const MembershipAgent &) = delete;
    MembershipAgent &operator=(const MembershipAgent &) = delete;

    /// Sets the address for callers or operators in the member row. Before start() only.
    void setServiceAddress(const std::string &address);
    /// Errors: those of PeerSocket::open().
    Result<void> start();
    /// Releases the leases and removes the member row, within the stop limit, then joins the
    /// thread. Returns whether everything was released.
    bool stop();

    /// Whether this process may serve now. Any thread. It reads the clock, so a process that was
    /// suspended past the end of its lease detects that before it acts.
    ServingState servingState() const;
    bool mayServe() const { return Peridot::mayServe(servingState()); }
    TimePoint now() const { return m_settings.clock(); }

    /// Any thread.
    void sendPeerMessage(const std::string &instance, const std::string &message);
    /// Runs \a work on the thread of the agent.
    void post(std::function<void(MembershipNode &node, TimePoint now)> work);
    asio::io_context &context() { return *m_context; }

private:
    void tick();
    void checkStop(TimePoint time);
    void afterEvent();
    void performStoreRequests();
    void publish(TimePoint now);
    void publishMembers(TimePoint now);
    bool messageReceived(const std::string &message);

    MembershipAgentSettings m_settings;
    MembershipHooks m_hooks;
    std::shared_ptr<asio::io_context> m_context = std::make_shared<asio::io_context>(1);
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    OneShotTimer m_timer;
    PeerSocket m_socket;
    std::unique_ptr<Store> m_ownedStore;
    Store *m_store;
    std::unique_ptr<MembershipNode> m_node;
    std::promise<bool> m_stopFinished;
    std::optional<TimePoint> m_stopDeadline; ///< set while a stop is in progress
    std::thread m_thread;
    EntryMembers m_members;
    bool m_membersKnown = false;
    TimePoint m_publishedLeaseEnd;
    ServingState m_publishedState = ServingState::NoConfiguration;
    std::atomic<std::int64_t> m_fullUntil{0}; ///< nanoseconds of the clock
    std::atomic<std::int64_t> m_idempotentUntil{0};
    std::atomic<ServingState> m_refusal{ServingState::NoConfiguration};
    bool m_released = false;
};

} // namespace Peridot
