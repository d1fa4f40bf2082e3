#include "GroupedClaimStore.h"

namespace Peridot {

namespace {

// The kernel gives up a read of a claim after this time.
constexpr Duration readLimit = std::chrono::seconds(1);

GroupCommitterSettings committerSettings(const std::string &instance)
{
    GroupCommitterSettings settings;
    settings.instance = instance;
    return settings;
}

} // namespace

GroupedClaimStore::GroupedClaimStore(const std::string &instance, std::unique_ptr<Store> store,
                                     DispatcherExecutor executor, const StorePacerSettings &limits)
    : m_store(std::move(store)), m_executor(std::move(executor)),
      m_pacer(claimPacing(limits), std::hash<std::string>{}(instance)),
      m_committer(*m_store, m_pacer, committerSettings(instance))
{
}

void GroupedClaimStore::read(TimePoint now, const std::string &key, ReadCallback callback)
{
    m_reads.push_back({now, key, std::move(callback)});
    sendReads(now);
}

void GroupedClaimStore::commit(TimePoint now, const CommitClaim &claim, CommitCallback callback)
{
    const RowOperation operation{claim.operationId, claim.check, claim.write};
    const bool accepted = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_committer.submit(now, operation, callback));
            return true;
        },
        [](const Error &) { return false; });
    if (!accepted)
        m_executor([callback = std::move(callback)] { callback(CommitResult{}); });
}

void GroupedClaimStore::tick(TimePoint now)
{
    m_committer.tick(now);
    sendReads(now);
}

std::optional<TimePoint> GroupedClaimStore::nextTick(TimePoint now)
{
    auto next = m_committer.nextTick(now);
    if (!m_reads.empty()) {
        const TimePoint read = now + m_pacer.timeUntilRead(now);
        next = next ? std::min(*next, read) : read;
    }
    return next;
}

void GroupedClaimStore::setProcesses(TimePoint now, std::size_t processes)
{
    m_pacer.setProcesses(now, processes);
}

void GroupedClaimStore::sendReads(TimePoint now)
{
    while (!m_reads.empty()) {
        const bool tooOld = now - m_reads.front().since > readLimit;
        if (!tooOld && !m_pacer.tryRead(now))
            return;
        WaitingRead read = std::move(m_reads.front());
        m_reads.pop_front();
        if (!tooOld) {
            sendRead(read);
            continue;
        }
        m_executor([read = std::move(read)] {
            Row row;
            row.key = read.key;
            read.callback(ReadStatus::Unavailable, row);
        });
    }
}

void GroupedClaimStore::sendRead(const WaitingRead &read)
{
    m_store->read({read.key}, [read](const ReadResult &result) {
        if (result.status == ReadStatus::Ok && result.rows.size() == 1)
            return read.callback(ReadStatus::Ok, result.rows.front());
        Row row;
        row.key = read.key;
        read.callback(ReadStatus::Unavailable, row);
    });
}

} // namespace Peridot
