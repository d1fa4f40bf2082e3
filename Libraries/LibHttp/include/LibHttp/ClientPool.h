#pragma once

#include <LibBase/BootClock.h>
#include <LibHttp/ClientConnection.h>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace Peridot {

struct ClientPoolSettings
{
    std::chrono::milliseconds connectTimeout{500};
    std::size_t connectionsPerServer = 8;
    /// A connection that was not used for this time is closed, so that the server can accept those
    /// of others. 0: it is kept.
    std::chrono::milliseconds idleTimeout{0};
};

/// Sends requests to many servers over reused plain connections. Requests to a server that has all
/// its connections in use wait in order of arrival. Single-threaded on its context.
class ClientPool
{
public:
    ClientPool(asio::io_context &context, ClientPoolSettings settings);
    ~ClientPool();
    ClientPool(const ClientPool &) = delete;
    ClientPool &operator=(const ClientPool &) = delete;

    /// Calls \a callback exactly once, after this function has returned, unless this object is
    /// destroyed before. A request that was not sent within its total time, which includes the time
    /// during which the host was suspended, ends as NotConnected.
    void exchange(const asio::ip::tcp::endpoint &server, std::string requestText,
                  ExchangeTimeout timeout, ClientConnection::Callback callback);

private:
    using Connection = std::shared_ptr<ClientConnection>;
    struct Request
    {
        std::string text;
        BootClock::time_point deadline;
        std::chrono::milliseconds receiveExtension;
        ClientConnection::Callback callback;
    };
    struct IdleConnection
    {
        Connection connection;
        BootClock::time_point since;
    };
    struct Server
    {
        std::vector<IdleConnection> idle; ///< the one that was used last at the end
        std::size_t busy = 0;
        std::deque<Request> waiting;
    };

    Connection takeIdle(Server &server);
    void send(const asio::ip::tcp::endpoint &endpoint, const Connection &connection,
              Request request);
    void exchangeEnded(const asio::ip::tcp::endpoint &endpoint, const Connection &connection);
    void dropUnused();
    /// Closes idle connections after their timeout, for as long as there are any.
    void scheduleIdleCheck();
    void closeIdle();

    asio::io_context &m_context;
    const ClientPoolSettings m_settings;
    std::map<asio::ip::tcp::endpoint, Server> m_servers;
    std::size_t m_requestsSinceDrop = 0;
    asio::steady_timer m_idleTimer;
    bool m_idleCheckScheduled = false;
    /// Answers that arrive after the destructor find it expired.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace Peridot
