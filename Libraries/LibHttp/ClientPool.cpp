#include <LibHttp/ClientPool.h>

#include <algorithm>
#include <asio/post.hpp>
#include <iterator>
#include <utility>

namespace Peridot {

namespace {

// Servers come and go; entries of those without a connection are removed once in so many requests.
constexpr std::size_t requestsBetweenDrops = 1000;
// A request that has waited and has less time left would be sent in vain.
constexpr std::chrono::milliseconds shortestExchange{20};
constexpr int idleChecksPerTimeout = 2;

} // namespace

ClientPool::ClientPool(asio::io_context &context, ClientPoolSettings settings)
    : m_context(context), m_settings(settings), m_idleTimer(context)
{
}

ClientPool::~ClientPool()
{
    for (auto &[endpoint, server] : m_servers) {
        for (const IdleConnection &idle : server.idle)
            idle.connection->close();
    }
}

void ClientPool::exchange(const asio::ip::tcp::endpoint &endpoint, std::string requestText,
                          ExchangeTimeout timeout, ClientConnection::Callback callback)
{
    if (++m_requestsSinceDrop >= requestsBetweenDrops)
        dropUnused();
    Server &server = m_servers[endpoint];
    Request request{std::move(requestText), BootClock::now() + timeout.total,
                    timeout.receiveExtension, std::move(callback)};
    if (server.busy >= m_settings.connectionsPerServer) {
        server.waiting.push_back(std::move(request));
        return;
    }
    ++server.busy;
    send(endpoint, takeIdle(server), std::move(request));
}

ClientPool::Connection ClientPool::takeIdle(Server &server)
{
    while (!server.idle.empty()) {
        Connection connection = std::move(server.idle.back().connection);
        server.idle.pop_back();
        if (connection->connected())
            return connection;
    }
    return nullptr;
}

void ClientPool::send(const asio::ip::tcp::endpoint &endpoint, const Connection &idle,
                      Request request)
{
    const Connection connection
        = idle ? idle
               : std::make_shared<ClientConnection>(
                   m_context, endpoint, ClientConnectionSettings{m_settings.connectTimeout, true});
    using std::chrono::milliseconds;
    const auto left = std::chrono::ceil<milliseconds>(request.deadline - BootClock::now());
    connection->exchange(
        std::move(request.text), false, {std::max(left, milliseconds(1)), request.receiveExtension},
        // The connection owns this callback, so that it must not be owned by it.
        [this, endpoint, weakConnection = std::weak_ptr(connection),
         callback = std::move(request.callback), alive = std::weak_ptr(m_alive)](Exchange result) {
            const Connection ended = weakConnection.lock();
            if (alive.expired() || !ended)
                return;
            exchangeEnded(endpoint, ended);
            callback(std::move(result));
        });
}

void ClientPool::exchangeEnded(const asio::ip::tcp::endpoint &endpoint,
                               const Connection &connection)
{
    Server &server = m_servers[endpoint];
    while (!server.waiting.empty()) {
        Request next = std::move(server.waiting.front());
        server.waiting.pop_front();
        if (next.deadline > BootClock::now() + shortestExchange)
            return send(endpoint, connection, std::move(next));
        asio::post(m_context,
                   [callback = std::move(next.callback), alive = std::weak_ptr(m_alive)] {
                       if (!alive.expired())
                           callback({ExchangeEnd::NotConnected, {}});
                   });
    }
    --server.busy;
    if (!connection->connected())
        return;
    server.idle.push_back({connection, BootClock::now()});
    scheduleIdleCheck();
}

void ClientPool::scheduleIdleCheck()
{
    if (m_settings.idleTimeout.count() == 0 || std::exchange(m_idleCheckScheduled, true))
        return;
    m_idleTimer.expires_after(m_settings.idleTimeout / idleChecksPerTimeout);
    m_idleTimer.async_wait([this, alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
        if (error || alive.expired())
            return;
        m_idleCheckScheduled = false;
        closeIdle();
    });
}

void ClientPool::closeIdle()
{
    const auto unusedSince = BootClock::now() - m_settings.idleTimeout;
    bool anyLeft = false;
    for (auto &[endpoint, server] : m_servers) {
        std::erase_if(server.idle, [&](const IdleConnection &idle) {
            if (idle.since > unusedSince)
                return false;
            idle.connection->close();
            return true;
        });
        anyLeft |= !server.idle.empty();
    }
    if (anyLeft)
        scheduleIdleCheck();
}

void ClientPool::dropUnused()
{
    m_requestsSinceDrop = 0;
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        Server &server = entry->second;
        std::erase_if(server.idle,
                      [](const IdleConnection &idle) { return !idle.connection->connected(); });
        entry = server.idle.empty() && server.busy == 0 ? m_servers.erase(entry) : std::next(entry);
    }
}

} // namespace Peridot
