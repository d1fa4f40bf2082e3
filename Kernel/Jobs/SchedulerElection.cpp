#include <Kernel/Jobs/SchedulerElection.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Peridot::Jobs {

namespace {

// Row with the processor capacity of the fastest host so far. It is in the same table as the lease
// row, so that one store call reads both.
constexpr std::string_view fastestHostKey = "lease/fastest-host";
// A successor can take over at most this long, plus one observation interval, after the holder
// failed.
constexpr std::chrono::milliseconds leaseDuration{2000};
// A faster host observes the free lease within one observation interval of half a second, and then
// needs a store call to acquire it.
constexpr std::chrono::milliseconds slowHostDelay{900};
// Short enough for many attempts at a renewal while the store refuses some calls because of their
// rate.
constexpr std::chrono::milliseconds storeRetryDelay{100};
// After an outage of the store, other processes wait this long before they acquire the lease, so
// that the former holder, which has the jobs loaded, can acquire it first.
constexpr std::chrono::milliseconds outageTakeoverDelay{1000};
constexpr std::chrono::milliseconds announcementRetryDelay{300};

MembershipTiming leaseTiming()
{
    MembershipTiming timing = membershipTimingFor(leaseDuration);
    timing.storeRetry = storeRetryDelay;
    return timing;
}

LeaseKeeperSettings leaseSettings(const std::string &host, const std::string &instance)
{
    LeaseKeeperSettings settings;
    // A host runs one process of this service at a time, so an earlier process of this host has
    // ended. The number of dashes is compared because the name of another host may start with the
    // name of this host and a dash.
    settings.hasEnded = [host, instance](const std::string &holder) {
        return holder != instance && holder.starts_with(host + '-')
               && std::count(holder.begin(), holder.end(), '-')
                      == std::count(instance.begin(), instance.end(), '-');
    };
    settings.key = schedulerLeaseKey;
    settings.name = "scheduler";
    settings.holder = instance;
    settings.timing = leaseTiming();
    return settings;
}

/// Value of the row of the fastest host; nothing when it is absent or malformed.
std::optional<double> parseProcessors(const Row &row)
{
    double processors = 0;
    const char *end = row.value.data() + row.value.size();
    const auto parsed = std::from_chars(row.value.data(), end, processors);
    if (row.version == absentVersion || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return processors;
}

} // namespace

SchedulerElection::SchedulerElection(SchedulerElectionSettings settings, Store &store, Hooks hooks)
    : m_settings(std::move(settings)), m_store(store), m_hooks(std::move(hooks)),
      m_leaseKeeper(leaseSettings(m_settings.host, m_settings.instance)),
      m_takeoverPolicy(m_settings.processors, slowHostDelay),
      m_transfer(m_settings.instance, m_settings.processors, m_settings.transfer, transferHooks(),
                 m_settings.defects),
      m_candidate{m_settings.instance, m_settings.processors, m_hooks.clock(), false,
                  m_settings.relayAddress}
{
}

LeadershipTransfer::Hooks SchedulerElection::transferHooks()
{
    LeadershipTransfer::Hooks hooks;
    hooks.prepare = [this] {
        m_hooks.prepare();
    };
    hooks.abandon = [this] {
        m_hooks.abandon();
    };
    hooks.resign = [this] {
        m_hooks.stepDown();
        resign();
    };
    hooks.observe = [this](std::string_view kind, const std::string &detail) {
        m_hooks.observe(kind, detail);
    };
    return hooks;
}

template <typename Result>
std::function<void(const Result &)>
SchedulerElection::guarded(std::function<void(const Result &)> callback) const
{
    return [callback = std::move(callback), alive = std::weak_ptr(m_alive)](const Result &result) {
        if (!alive.expired())
            callback(result);
    };
}

std::optional<HeldLease> SchedulerElection::held() const
{
    return m_leaseKeeper.held(m_hooks.clock());
}

void SchedulerElection::tick()
{
    const TimePoint now = m_hooks.clock();
    m_transfer.setLeading(now, held().has_value());
    m_transfer.tick(now);
    sendTransferWrite();
    sendLeaseRequest();
    announce();
}

void SchedulerElection::observeLease()
{
    // The holder knows the row from its own renewals.
    if (held())
        return;
    m_store.read({std::string(fastestHostKey), std::string(schedulerLeaseKey)},
                 guarded<ReadResult>([this](const ReadResult &result) { leaseRowsRead(result); }));
}

void SchedulerElection::leaseRowsRead(const ReadResult &result)
{
    const TimePoint now = m_hooks.clock();
    if (held())
        return;
    if (result.status == ReadStatus::Ok) {
        const Row &fastest = result.rows.front();
        m_leaseKeeper.observe(now, result.rows.back());
        m_takeoverPolicy.observe(now, m_leaseKeeper.isFree(now), parseProcessors(fastest));
        if (m_takeoverPolicy.isFastest())
            publishProcessors(fastest);
    } else if (!result.rateLimited) {
        m_storeFailedAt = now;
    }
    updateWanted();
}

void SchedulerElection::leaseRowChanged(const Row &row)
{
    const TimePoint now = m_hooks.clock();
    if (row.key != schedulerLeaseKey || held())
        return;
    m_leaseKeeper.observe(now, row);
    updateWanted();
    sendLeaseRequest();
}

void SchedulerElection::updateWanted()
{
    const TimePoint now = m_hooks.clock();
    const bool waitForFormerHolder
        = m_storeFailedAt && now < *m_storeFailedAt + outageTakeoverDelay;
    const bool mayAcquire = m_takeoverPolicy.mayAcquire(now) && !waitForFormerHolder
                            && !m_transfer.isReservedForOther(now);
    m_leaseKeeper.setWanted(!m_stopRequestedAt && (mayAcquire || m_transfer.isSuccessor(now)));
}

void SchedulerElection::publishProcessors(const Row &row)
{
    Transaction transaction;
    transaction.operationId = m_settings.instance + "/processors";
    transaction.checks = {{row.key, row.version}};
    transaction.writes = {{row.key, std::to_string(m_settings.processors)}};
    // When the write fails, the next observation reads the current row and tries again.
    m_store.commit(transaction, [](const CommitResult &) {});
}

void SchedulerElection::sendLeaseRequest()
{
    const auto request = m_leaseKeeper.takeRequest(m_hooks.clock());
    if (!request)
        return;
    if (const auto *transaction = std::get_if<Transaction>(&*request)) {
        m_store.commit(*transaction, guarded<CommitResult>([this](const CommitResult &result) {
            leaseRequestFinished(result);
        }));
        return;
    }
    m_store.read(
        std::get<ReadRows>(*request).keys,
        guarded<ReadResult>([this](const ReadResult &result) { leaseRequestFinished(result); }));
}

void SchedulerElection::leaseRequestFinished(const StoreReply &reply)
{
    const TimePoint now = m_hooks.clock();
    const bool wasHeld = held().has_value();
    m_leaseKeeper.finish(now, reply);
    reportFailedRequest(reply, wasHeld);
    m_transfer.setLeading(now, held().has_value());
    m_hooks.leaseChanged();
}

void SchedulerElection::reportFailedRequest(const StoreReply &reply, bool wasHeld) const
{
    // Requests of processes that do not hold the lease fail often, as others win.
    if (!wasHeld)
        return;
    if (const auto *commit = std::get_if<CommitResult>(&reply)) {
        if (commit->status != CommitStatus::Committed)
            m_hooks.observe("lease-renewal-failed",
                            commit->rateLimited
                                ? "rate-limited"
                                : std::string(commitStatusNames.nameOf(commit->status)));
    } else if (std::get<ReadResult>(reply).status != ReadStatus::Ok) {
        m_hooks.observe("lease-renewal-failed", "read");
    }
}

void SchedulerElection::candidateRowChanged(const RowChange &change)
{
    const std::string host = change.row.key.substr(candidatePrefix.size());
    std::optional<SchedulerCandidate> candidate;
    if (!change.removed)
        candidate = valueOrElse(
            [&]() -> Result<std::optional<SchedulerCandidate>> {
                BOOST_LEAF_AUTO(parsed, parseCandidate(change.row.value));
                return std::optional(parsed);
            },
            [](const Error &) { return std::optional<SchedulerCandidate>(); });
    if (m_hooks.candidateChanged)
        m_hooks.candidateChanged(host, candidate);
    m_transfer.candidateChanged(host, std::move(candidate));
}

void SchedulerElection::transferRowChanged(const Row &row)
{
    if (row.key == transferKey)
        m_transfer.transferRowChanged(m_hooks.clock(), row);
}

void SchedulerElection::prepared()
{
    m_transfer.prepared(m_hooks.clock());
    sendTransferWrite();
}

void SchedulerElection::beginStop()
{
    const TimePoint now = m_hooks.clock();
    m_stopRequestedAt = now;
    m_candidate.stopping = true;
    m_nextAnnouncementAt = now;
    announce();
    m_transfer.setLeading(now, held().has_value());
    if (held())
        m_transfer.beginStop(now);
    else
        m_leaseKeeper.release();
    sendTransferWrite();
}

void SchedulerElection::resign()
{
    if (m_stopRequestedAt)
        m_leaseKeeper.release();
    else
        m_leaseKeeper.resign();
    m_transfer.setLeading(m_hooks.clock(), false);
    sendLeaseRequest();
}

void SchedulerElection::sendTransferWrite()
{
    const auto transaction = m_transfer.takeTransaction(m_hooks.clock());
    if (!transaction)
        return;
    m_store.commit(*transaction, guarded<CommitResult>([this](const CommitResult &result) {
        m_transfer.transactionFinished(m_hooks.clock(), result);
    }));
}

void SchedulerElection::announce()
{
    const TimePoint now = m_hooks.clock();
    if (m_announcing || m_announced == m_candidate || now < m_nextAnnouncementAt)
        return;
    m_announcing = true;
    m_nextAnnouncementAt = now + announcementRetryDelay;
    const std::string key = candidateKey(m_settings.host);
    Transaction transaction;
    transaction.operationId = "candidate/" + m_settings.instance + '/'
                              + (m_candidate.stopping ? "stopping" : "started");
    transaction.checks = {{key, m_candidateVersion}};
    transaction.writes = {{key, encodeCandidate(m_candidate)}};
    m_store.commit(transaction, guarded<CommitResult>(
                                    [this, key, written = m_candidate](const CommitResult &result) {
                                        m_announcing = false;
                                        if (result.status == CommitStatus::Committed) {
                                            m_announced = written;
                                            m_candidateVersion = result.revision;
                                        }
                                        for (const Row &row : result.currentRows) {
                                            if (row.key == key)
                                                m_candidateVersion = row.version;
                                        }
                                    }));
}

} // namespace Peridot::Jobs
