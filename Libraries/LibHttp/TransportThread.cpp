#include "TransportThread.h"

#include <asio/post.hpp>

namespace Peridot {

TransportThread::TransportThread(const BackendClientSettings &settings, DoneCallback onDone)
    : m_work(asio::make_work_guard(m_context)), m_client(m_context, settings),
      m_onDone(std::move(onDone)), m_thread([this] { m_context.run(); })
{
}

TransportThread::~TransportThread()
{
    m_context.stop();
    m_thread.join();
}

// Only the transfer that finds the inbox empty wakes the thread.
void TransportThread::start(Transfer *transfer)
{
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        wake = m_inbox.empty();
        m_inbox.push_back(transfer);
    }
    if (wake)
        asio::post(m_context, [this] { startBatch(); });
}

void TransportThread::setMaximumConnectionsPerServer(long connections)
{
    asio::post(m_context,
               [this, connections] { m_client.setMaximumConnectionsPerServer(connections); });
}

void TransportThread::closeConnections()
{
    asio::post(m_context, [this] { m_client.closeConnections(); });
}

void TransportThread::startBatch()
{
    {
        const std::lock_guard lock(m_mutex);
        m_batch.swap(m_inbox);
    }
    const auto now = std::chrono::steady_clock::now();
    for (Transfer *transfer : m_batch) {
        // The process may have been paused since the owner handed the transfer over.
        if (transfer->deadline <= now) {
            transfer->answer.status = AttemptStatus::NotSent;
            transfer->answer.detail = "the timeout ended before the request was sent";
            m_onDone(transfer);
            continue;
        }
        transfer->request.timeout
            = std::chrono::ceil<std::chrono::milliseconds>(transfer->deadline - now);
        m_client.start(std::move(transfer->request), [this, transfer](BackendAnswer answer) {
            transfer->answer = std::move(answer);
            m_onDone(transfer);
        });
    }
    m_batch.clear();
}

} // namespace Peridot
