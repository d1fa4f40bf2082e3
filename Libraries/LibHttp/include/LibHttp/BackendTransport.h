#pragma once

#include <LibHttp/BackendClient.h>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Peridot {

class TransportThread;
struct ServerTransfers;
struct Transfer;

struct BackendTransportSettings
{
    /// maximumConnectionsPerServer applies to servers without a limit of their own.
    BackendClientSettings client;
    unsigned threads = 2; ///< at least 1
};

/// This process's share of the connections to one backend server.
struct ConnectionLimit
{
    std::string address;
    std::uint16_t port = 0;
    unsigned connections = 64;
};

/// Sends requests to backend servers from several threads, each with a BackendClient of its own.
/// Over all threads, the connections to a backend server never exceed its limit; requests that find
/// no free connection wait in order of arrival. All functions must be called on the thread of the
/// owner's context. A request is passed to one BackendClient at most once.
class BackendTransport
{
public:
    using Callback = BackendClient::Callback;

    /// \a onBatchEnd runs on the owner's thread after the callbacks of one batch of answers.
    BackendTransport(asio::io_context &owner, const BackendTransportSettings &settings,
                     std::function<void()> onBatchEnd);
    /// Joins the threads. Drops the callbacks of transfers that have not ended, because it is
    /// unknown whether their requests were sent.
    ~BackendTransport();
    BackendTransport(const BackendTransport &) = delete;
    BackendTransport &operator=(const BackendTransport &) = delete;

    /// Calls \a callback at most once, after this function has returned, on the owner's thread. A
    /// request that times out while it waits for a connection ends as NotSent.
    void start(BackendRequest request, Callback callback);

    /// Replaces the limits. When one is lowered, idle connections to all servers are closed and
    /// those in use are closed when their transfer ends.
    void setConnectionLimits(const std::vector<ConnectionLimit> &limits);

    std::size_t openTransfers() const { return m_transfers.size() - m_idle.size(); }

private:
    ServerTransfers &serverOf(const std::string &address, std::uint16_t port);
    void assignToThread(Transfer *transfer, unsigned thread);
    void startWaiting(ServerTransfers &server);
    void transferDone(Transfer *transfer);
    void takeAnswers();
    void finish(Transfer *transfer);
    void expireWaiting();
    void armExpiryTimer();

    asio::io_context &m_owner;
    BackendTransportSettings m_settings;
    std::function<void()> m_onBatchEnd;
    std::unordered_map<std::string, std::unique_ptr<ServerTransfers>> m_servers; ///< by endpoint
    std::vector<std::unique_ptr<Transfer>> m_transfers; ///< including idle ones, for reuse
    std::vector<Transfer *> m_idle;
    std::vector<unsigned> m_openByThread;
    std::size_t m_waiting = 0;
    asio::steady_timer m_expiryTimer;
    std::mutex m_mutex;
    std::vector<Transfer *> m_answers; ///< guarded by m_mutex
    std::vector<Transfer *> m_batch;
    /// Handlers that the owner's context runs after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<std::unique_ptr<TransportThread>> m_threads; ///< destroyed first
};

} // namespace Peridot
