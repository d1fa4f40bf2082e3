#include <LibMembership/PacedStore.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace Peridot {

namespace {

// Waiting calls of one kind; more are refused at once, so that memory stays bounded in an outage.
constexpr std::size_t queueLimit = 2000;

// Shortest wait of the timer, against a busy loop when a token is due almost now.
constexpr Duration shortestWait = std::chrono::milliseconds(1);

} // namespace

PacedStore::PacedStore(asio::io_context &context, Store &inner, const StorePacerSettings &settings,
                       std::uint64_t seed, std::function<TimePoint()> clock)
    : m_context(context), m_inner(inner), m_pacer(settings, seed), m_clock(std::move(clock)),
      m_timer(context)
{
}

PacedStore::PacedStore(asio::io_context &context, std::unique_ptr<Store> inner,
                       const StorePacerSettings &settings, std::uint64_t seed,
                       std::function<TimePoint()> clock)
    : m_context(context), m_owned(std::move(inner)), m_inner(*m_owned), m_pacer(settings, seed),
      m_clock(std::move(clock)), m_timer(context)
{
}

void PacedStore::setProcesses(std::size_t processes)
{
    m_pacer.setProcesses(m_clock(), std::max<std::size_t>(1, processes));
}

void PacedStore::commit(const Transaction &transaction, CommitCallback callback)
{
    const std::size_t rows = std::max<std::size_t>(1, transaction.writes.size());
    auto send = [this, transaction, callback] {
        ++m_writeCount;
        m_inner.commit(transaction, [this, callback](const CommitResult &result) {
            finished(result.status == CommitStatus::Committed
                     || result.status == CommitStatus::Conflict);
            callback(result);
        });
    };
    enqueue(m_writes, {rows, std::move(send)}, [callback] { callback(CommitResult{}); });
}

Store::ReadCallback PacedStore::observed(ReadCallback callback)
{
    return [this, callback = std::move(callback)](const ReadResult &result) {
        finished(result.status == ReadStatus::Ok);
        callback(result);
    };
}

void PacedStore::read(const std::vector<std::string> &keys, ReadCallback callback)
{
    auto send = [this, keys, callback] {
        ++m_readCount;
        m_inner.read(keys, observed(callback));
    };
    enqueue(m_reads, {keys.size(), std::move(send)}, [callback] { callback(ReadResult{}); });
}

void PacedStore::scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
                      ReadCallback callback)
{
    auto send = [this, prefix, startAfter, limit, callback] {
        ++m_readCount;
        m_inner.scan(prefix, startAfter, limit, observed(callback));
    };
    // The number of rows is not known before the answer; most scans here return less than a page.
    enqueue(m_reads, {1, std::move(send)}, [callback] { callback(ReadResult{}); });
}

void PacedStore::enqueue(std::deque<Call> &queue, Call call, const std::function<void()> &refuse)
{
    if (queue.size() >= queueLimit) {
        asio::post(m_context, refuse);
        return;
    }
    queue.push_back(std::move(call));
    asio::post(m_context, [this] { pump(); });
}

void PacedStore::finished(bool success)
{
    if (success)
        m_pacer.succeeded();
    else
        m_pacer.failed(m_clock());
}

void PacedStore::pump()
{
    const TimePoint now = m_clock();
    while (!m_writes.empty() && m_pacer.tryWrite(now, m_writes.front().rows)) {
        const Call call = std::move(m_writes.front());
        m_writes.pop_front();
        call.send();
    }
    while (!m_reads.empty() && m_pacer.tryRead(now, m_reads.front().rows)) {
        const Call call = std::move(m_reads.front());
        m_reads.pop_front();
        call.send();
    }
    Duration wait = Duration::max();
    if (!m_writes.empty())
        wait = std::min(wait, m_pacer.timeUntilWrite(now, m_writes.front().rows));
    if (!m_reads.empty())
        wait = std::min(wait, m_pacer.timeUntilRead(now, m_reads.front().rows));
    if (wait == Duration::max())
        return;
    m_timer.runAfter(std::max(wait, shortestWait), [this] { pump(); });
}

} // namespace Peridot
