#include "RequestLog.h"

#include <LibBase/Log.h>

namespace Peridot {

namespace {

constexpr std::chrono::milliseconds flushInterval{20};

void write(const RequestRecord &record)
{
    logEvent(LogLevel::Info, "request-finished",
             {{"request_id", record.requestId},
              {"service", record.service},
              {"outcome", record.outcome},
              {"reason", record.reason},
              {"status", record.status},
              {"attempts", std::uint64_t(record.attempts)},
              {"backend_server", record.backendServer},
              {"us", std::int64_t(record.duration.count() / 1000)}});
}

} // namespace

RequestLog::RequestLog(bool enabled) : m_enabled(enabled)
{
    if (m_enabled)
        m_thread = std::thread([this] { run(); });
}

RequestLog::~RequestLog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void RequestLog::add(RequestRecord record)
{
    if (!m_enabled)
        return;
    const std::lock_guard lock(m_mutex);
    if (m_records.size() >= recordLimit)
        ++m_dropped;
    else
        m_records.push_back(std::move(record));
}

void RequestLog::run()
{
    std::vector<RequestRecord> batch;
    bool stopping = false;
    while (!stopping) {
        std::uint64_t dropped = 0;
        {
            // Polling at a fixed interval saves the writer a wake-up call for each request.
            std::unique_lock lock(m_mutex);
            m_wake.wait_for(lock, flushInterval, [this] { return m_stopping; });
            stopping = m_stopping;
            batch.swap(m_records);
            std::swap(dropped, m_dropped);
        }
        for (const auto &record : batch)
            write(record);
        batch.clear();
        if (dropped > 0)
            logEvent(LogLevel::Warning, "request-log-dropped", {{"lines", dropped}});
    }
}

} // namespace Peridot
