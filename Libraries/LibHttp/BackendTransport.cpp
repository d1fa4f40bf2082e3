#include <LibHttp/BackendTransport.h>

#include "ServerTransfers.h"
#include "TransportThread.h"
#include <algorithm>
#include <asio/post.hpp>

namespace Peridot {

namespace {

using SteadyClock = std::chrono::steady_clock;

// Timeouts of requests that wait for a connection are met within this time.
constexpr std::chrono::milliseconds sweepInterval{5};

std::string endpointKey(const std::string &address, std::uint16_t port)
{
    return address + ' ' + std::to_string(port);
}

} // namespace

BackendTransport::BackendTransport(asio::io_context &owner,
                                   const BackendTransportSettings &settings,
                                   std::function<void()> onBatchEnd)
    : m_owner(owner), m_settings(settings), m_onBatchEnd(std::move(onBatchEnd)),
      m_openByThread(settings.threads), m_expiryTimer(owner)
{
    for (unsigned thread = 0; thread < settings.threads; ++thread) {
        m_threads.push_back(std::make_unique<TransportThread>(
            settings.client, [this](Transfer *transfer) { transferDone(transfer); }));
    }
}

BackendTransport::~BackendTransport()
{
    m_threads.clear();
}

ServerTransfers &BackendTransport::serverOf(const std::string &address, std::uint16_t port)
{
    const std::string key = endpointKey(address, port);
    auto &server = m_servers[key];
    if (!server) {
        // The same rotation whenever the server returns, because connections to it may be idle.
        const auto rotation = static_cast<unsigned>(std::hash<std::string>{}(key) % 1024);
        server = std::make_unique<ServerTransfers>(
            ServerTransfers{ConnectionShares(m_settings.threads, rotation), {}});
        server->limit = static_cast<unsigned>(m_settings.client.maximumConnectionsPerServer);
        server->shares.setLimit(server->limit);
    }
    return *server;
}

void BackendTransport::start(BackendRequest request, Callback callback)
{
    if (m_idle.empty()) {
        m_transfers.push_back(std::make_unique<Transfer>());
        m_idle.push_back(m_transfers.back().get());
    }
    Transfer *transfer = m_idle.back();
    m_idle.pop_back();
    ServerTransfers &server = serverOf(request.address, request.port);
    transfer->server = &server;
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    transfer->deadline = SteadyClock::now() + transfer->request.timeout;
    const auto thread
        = server.waiting.empty() ? server.shares.choose(m_openByThread) : std::nullopt;
    if (thread)
        return assignToThread(transfer, *thread);
    server.waiting.push_back(transfer);
    if (m_waiting++ == 0)
        armExpiryTimer();
}

void BackendTransport::assignToThread(Transfer *transfer, unsigned thread)
{
    transfer->thread = thread;
    transfer->server->shares.opened(thread);
    ++m_openByThread[thread];
    m_threads[thread]->start(transfer);
}

void BackendTransport::startWaiting(ServerTransfers &server)
{
    while (!server.waiting.empty()) {
        const auto thread = server.shares.choose(m_openByThread);
        if (!thread)
            return;
        Transfer *transfer = server.waiting.front();
        server.waiting.pop_front();
        --m_waiting;
        assignToThread(transfer, *thread);
    }
}

// Runs on a transport thread. Only the answer that finds the list empty wakes the owner.
void BackendTransport::transferDone(Transfer *transfer)
{
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        wake = m_answers.empty();
        m_answers.push_back(transfer);
    }
    if (!wake)
        return;
    asio::post(m_owner, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            takeAnswers();
    });
}

void BackendTransport::takeAnswers()
{
    {
        const std::lock_guard lock(m_mutex);
        m_batch.swap(m_answers);
    }
    for (Transfer *transfer : m_batch) {
        ServerTransfers &server = *transfer->server;
        server.shares.ended(transfer->thread);
        --m_openByThread[transfer->thread];
        startWaiting(server);
        finish(transfer);
    }
    m_batch.clear();
    if (m_onBatchEnd)
        m_onBatchEnd();
}

void BackendTransport::finish(Transfer *transfer)
{
    const Callback callback = std::move(transfer->callback);
    BackendAnswer answer = std::move(transfer->answer);
    transfer->request = {};
    transfer->answer = {};
    m_idle.push_back(transfer);
    callback(std::move(answer));
}

void BackendTransport::armExpiryTimer()
{
    m_expiryTimer.expires_after(sweepInterval);
    m_expiryTimer.async_wait(
        [this, alive = std::weak_ptr<bool>(m_alive)](const asio::error_code &error) {
            if (!error && !alive.expired())
                expireWaiting();
        });
}

void BackendTransport::expireWaiting()
{
    const auto now = SteadyClock::now();
    std::vector<Transfer *> expired;
    for (const auto &[key, server] : m_servers) {
        auto &waiting = server->waiting;
        const auto keep = std::stable_partition(
            waiting.begin(), waiting.end(),
            [now](const Transfer *transfer) { return transfer->deadline > now; });
        expired.insert(expired.end(), keep, waiting.end());
        waiting.erase(keep, waiting.end());
    }
    m_waiting -= expired.size();
    for (Transfer *transfer : expired) {
        transfer->answer.status = AttemptStatus::NotSent;
        transfer->answer.detail = "no connection was free before the timeout";
        finish(transfer);
    }
    if (!expired.empty() && m_onBatchEnd)
        m_onBatchEnd();
    if (m_waiting > 0)
        armExpiryTimer();
}

void BackendTransport::setConnectionLimits(const std::vector<ConnectionLimit> &limits)
{
    for (const auto &[key, server] : m_servers)
        server->listed = false;
    bool lowered = false;
    unsigned highest = static_cast<unsigned>(m_settings.client.maximumConnectionsPerServer);
    for (const auto &limit : limits) {
        ServerTransfers &server = serverOf(limit.address, limit.port);
        // Two names of one endpoint share its connections.
        const unsigned connections
            = server.listed ? std::min(server.limit, limit.connections) : limit.connections;
        lowered = lowered || connections < server.limit;
        highest = std::max(highest, connections);
        server.limit = connections;
        server.listed = true;
        server.shares.setLimit(connections);
    }
    const auto threads = static_cast<unsigned>(m_threads.size());
    for (const auto &thread : m_threads) {
        thread->setMaximumConnectionsPerServer((highest + threads - 1) / threads);
        if (lowered)
            thread->closeConnections();
    }
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        ServerTransfers &server = *entry->second;
        startWaiting(server);
        const bool used
            = server.listed || server.shares.openTransfers() > 0 || !server.waiting.empty();
        entry = used ? std::next(entry) : m_servers.erase(entry);
    }
}

} // namespace Peridot
