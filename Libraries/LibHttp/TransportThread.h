#pragma once

#include <LibHttp/BackendClient.h>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Peridot {

struct ServerTransfers;

/// One transfer on its way to a transport thread and back. Owned by BackendTransport and touched by
/// one thread at a time: the owner, then the transport thread, then the owner again.
struct Transfer
{
    BackendRequest request;
    BackendClient::Callback callback;
    BackendAnswer answer;
    ServerTransfers *server = nullptr;
    unsigned thread = 0;
    std::chrono::steady_clock::time_point deadline;
};

/// A thread with an Asio context and a BackendClient of its own.
class TransportThread
{
public:
    /// Called on the transport thread when \a transfer has its answer.
    using DoneCallback = std::function<void(Transfer *transfer)>;

    TransportThread(const BackendClientSettings &settings, DoneCallback onDone);
    /// Joins the thread; transfers that are open stay without an answer.
    ~TransportThread();
    TransportThread(const TransportThread &) = delete;
    TransportThread &operator=(const TransportThread &) = delete;

    void start(Transfer *transfer);
    void setMaximumConnectionsPerServer(long connections);
    void closeConnections();

private:
    void startBatch();

    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    BackendClient m_client;
    DoneCallback m_onDone;
    std::mutex m_mutex;
    std::vector<Transfer *> m_inbox; ///< guarded by m_mutex
    std::vector<Transfer *> m_batch;
    std::thread m_thread;
};

} // namespace Peridot
