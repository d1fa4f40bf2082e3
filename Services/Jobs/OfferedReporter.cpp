#include "OfferedReporter.h"

#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::chrono::seconds reportPeriod{1};

std::int64_t millisecondsOf(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

OfferedReporter::OfferedReporter(asio::io_context &context, Store &store, std::string host,
                                 std::string instance, Hooks hooks)
    : m_store(store), m_host(std::move(host)), m_hooks(std::move(hooks)), m_timer(context)
{
    m_latest.instance = std::move(instance);
}

void OfferedReporter::start()
{
    m_timer.runAfter(reportPeriod, [this] { start(); });
    // An answer that is late must not let writes pile up while the store is away.
    if (!m_writeInFlight && m_hooks.isNeeded() && m_hooks.counts() != m_latest.counts)
        write();
}

void OfferedReporter::write()
{
    m_writeInFlight = true;
    m_latest.milliseconds = millisecondsOf(m_hooks.clock());
    m_latest.counts = m_hooks.counts();
    Transaction transaction;
    transaction.operationId = "offered/" + m_latest.instance + '/' + std::to_string(++m_writes);
    transaction.writes = {{offeredKey(m_host), encodeOfferedReport(m_latest)}};
    m_store.commit(transaction, [this, alive = std::weak_ptr(m_alive)](const CommitResult &) {
        if (!alive.expired())
            m_writeInFlight = false;
    });
}

} // namespace Peridot::Jobs
