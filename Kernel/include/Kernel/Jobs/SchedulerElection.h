#pragma once

#include <Kernel/Jobs/LeadershipTransfer.h>
#include <Kernel/Jobs/LeaseTakeoverPolicy.h>
#include <Kernel/Membership/LeaseKeeper.h>
#include <LibStore/ChangeFeed.h>
#include <LibStore/Store.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peridot::Jobs {

constexpr std::string_view leasePrefix = "lease/";
constexpr std::string_view schedulerLeaseKey = "lease/scheduler";

struct SchedulerElectionSettings
{
    std::string host;
    std::string instance; ///< name of this process, unique for each start: the host and a suffix
    double processors = 1; ///< see SchedulerCandidate
    std::string relayAddress = {}; ///< see SchedulerCandidate
    LeadershipTransferTiming transfer = {};
    LeadershipTransferDefects defects = {};
};

/// Decides which process is the scheduler: acquires, renews and releases the scheduler lease, lets
/// fast hosts go first, and transfers the lease to a prepared successor. Reads no clock and has no
/// timers: the owner calls tick() and observeLease() periodically and passes in changed rows.
class SchedulerElection
{
public:
    struct Hooks
    {
        std::function<TimePoint()> clock;
        /// See LeadershipTransfer::Hooks.
        std::function<void()> prepare;
        std::function<void()> abandon;
        /// The process must send no further orders, because its lease is about to be released.
        std::function<void()> stepDown;
        /// The lease may have been acquired or lost; see held().
        std::function<void()> leaseChanged;
        std::function<void(std::string_view kind, const std::string &detail)> observe;
        /// A candidate has announced itself, or its row was removed. May be empty.
        std::function<void(const std::string &host, const std::optional<SchedulerCandidate> &)>
            candidateChanged = {};
    };

    SchedulerElection(SchedulerElectionSettings settings, Store &store, Hooks hooks);

    /// Sends due store calls and checks time limits.
    void tick();
    /// Reads the lease row, unless this process holds the lease.
    void observeLease();
    void leaseRowChanged(const Row &row);
    /// Takes a changed row of a candidate. Only the leader needs these rows.
    void candidateRowChanged(const RowChange &change);
    void transferRowChanged(const Row &row);
    /// The rows of the jobs are loaded, as hooks.prepare() requested.
    void prepared();
    /// Transfers or releases the lease; it is not acquired again.
    void beginStop();
    /// Releases the lease without a successor. The process must have stopped to schedule.
    void resign();

    std::optional<HeldLease> held() const;
    /// Holder according to the latest known row; empty when released.
    const std::string &observedHolder() const { return m_leaseKeeper.observedHolder(); }
    /// Whether the latest known lease row names another holder than this process, or none.
    bool released() const { return observedHolder() != m_settings.instance; }

private:
    void leaseRowsRead(const ReadResult &result);
    void updateWanted();
    void sendLeaseRequest();
    void leaseRequestFinished(const StoreReply &reply);
    /// Tells why a renewal of the lease, which this process held until then or still holds, failed.
    void reportFailedRequest(const StoreReply &reply, bool wasHeld) const;
    void sendTransferWrite();
    /// Writes the row by which the leader knows this process, unless it is up to date.
    void announce();
    /// Writes the processor capacity of this host to the row of the fastest host, unless it has
    /// changed since \a row was read.
    void publishProcessors(const Row &row);
    LeadershipTransfer::Hooks transferHooks();
    /// Callback for a store call that is ignored after the destruction of this object.
    template <typename Result>
    std::function<void(const Result &)> guarded(std::function<void(const Result &)> callback) const;

    SchedulerElectionSettings m_settings;
    Store &m_store;
    Hooks m_hooks;
    LeaseKeeper m_leaseKeeper;
    LeaseTakeoverPolicy m_takeoverPolicy;
    LeadershipTransfer m_transfer;
    SchedulerCandidate m_candidate; ///< of this process
    std::optional<SchedulerCandidate> m_announced; ///< as written
    Version m_candidateVersion = absentVersion;
    bool m_announcing = false; ///< a write of the candidate row is in flight
    TimePoint m_nextAnnouncementAt;
    std::optional<TimePoint> m_storeFailedAt; ///< latest failed read of the lease row
    std::optional<TimePoint> m_stopRequestedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
