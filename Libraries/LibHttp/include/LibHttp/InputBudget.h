#pragma once

#include <LibBase/EnumTable.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Peridot {

/// Limit of an InputBudget for which a connection was closed or a request refused.
enum class InputLimit {
    Connections, ///< more connections than the server may have
    Bytes, ///< unfinished requests and answers not taken hold too much memory
    Requests, ///< requests in handling hold too much memory
};

constexpr auto inputLimitNames = makeEnumTable<InputLimit>({
    {InputLimit::Connections, "connection-limit"},
    {InputLimit::Bytes, "byte-limit"},
    {InputLimit::Requests, "request-limit"},
});

/// Memory and connections that the clients of all HTTP servers of a process may use together. When
/// a limit is reached, the connection that has been idle, has not finished its request or has not
/// taken its answers for the longest time is closed. A connection whose request is in handling
/// stays, unless it has sent a further request before it took the answer: such a client could
/// otherwise always have a request in handling. Thread-safe.
///
/// Connections are identified by the server and by the number that the server gave them.
class InputBudget
{
public:
    struct Limits
    {
        std::size_t bytes = 0; ///< charged to connections and requests together
        std::size_t lingering = 0; ///< refused connections that wait for the client to read
    };

    /// Closes a connection. Called with the budget locked, so it must not call the budget.
    /// \a answersDue: requests of it are in handling, or answers not written.
    using CloseFunction = std::function<void(bool answersDue)>;
    using ServerId = std::size_t;

    /// Returned by beginRequest(): memory of a request, released with this object.
    class RequestCharge
    {
    public:
        RequestCharge(std::shared_ptr<InputBudget> budget, std::size_t bytes)
            : m_budget(std::move(budget)), m_bytes(bytes)
        {
        }
        ~RequestCharge() { m_budget->releaseRequest(m_bytes); }
        RequestCharge(const RequestCharge &) = delete;
        RequestCharge &operator=(const RequestCharge &) = delete;

    private:
        std::shared_ptr<InputBudget> m_budget;
        std::size_t m_bytes;
    };

    explicit InputBudget(const Limits &limits) : m_limits(limits) { }

    ServerId addServer(std::size_t maximumConnections);

    void connectionOpened(ServerId server, std::uint64_t connection, CloseFunction close);
    void connectionClosed(ServerId server, std::uint64_t connection);
    /// Input of a request that is not whole yet.
    void inputReceived(ServerId server, std::uint64_t connection, std::size_t bytes);
    /// Charges a whole request with a body of \a bodyBytes. Null: it must be refused, because the
    /// budget has no room for it or has closed the connection.
    static std::unique_ptr<RequestCharge> beginRequest(const std::shared_ptr<InputBudget> &budget,
                                                       ServerId server, std::uint64_t connection,
                                                       std::size_t bodyBytes);
    /// A request that was begun, or refused by beginRequest(), got its answer of \a bytes.
    void answerQueued(ServerId server, std::uint64_t connection, std::size_t bytes);
    /// The operating system has taken the answer.
    void answerWritten(ServerId server, std::uint64_t connection, std::size_t bytes);

    /// Whether a refused connection may stay open until its client has read the refusal. Each
    /// success is followed by one endLingering().
    bool beginLingering();
    void endLingering();

    /// Closed connections and refused requests by limit.
    std::uint64_t refusals(InputLimit limit) const;
    std::size_t chargedBytes() const;

private:
    struct Connection
    {
        CloseFunction close;
        std::uint64_t waitingSince = 0; ///< value of m_sequence when the client had to act last
        std::size_t inputBytes = 0;
        std::size_t answerBytes = 0;
        unsigned requests = 0; ///< in handling
        bool pipelines = false; ///< has sent a request before it took the previous answer
        bool closing = false; ///< close was called
    };
    using Key = std::pair<ServerId, std::uint64_t>;
    using Connections = std::map<Key, Connection>;
    struct Server
    {
        std::size_t maximumConnections = 0;
        std::size_t connections = 0; ///< without closing ones
    };

    /// Notes that the client has to act from now on, if nothing else is due.
    void restartWait(Connection &connection);
    static std::size_t chargeOf(const Connection &connection);
    /// Runs \a change on a connection that is not closing, and keeps the charge of all connections.
    template <typename Change>
    void update(const Key &key, Change change);
    void releaseRequest(std::size_t bytes);
    bool exceeded() const { return m_connectionBytes + m_requestBytes > m_limits.bytes; }
    /// Closes connections until the limit is kept, or only those with requests in handling remain.
    void enforceBytes();
    /// Closes the connection, among those that \a eligible accepts, that has waited the longest.
    template <typename Predicate>
    bool closeLongestWaiting(InputLimit reason, Predicate eligible);
    void count(InputLimit limit) { ++m_refusals[static_cast<std::size_t>(limit)]; }

    const Limits m_limits;
    mutable std::mutex m_mutex;
    std::vector<Server> m_servers;
    Connections m_connections;
    std::uint64_t m_sequence = 0;
    std::size_t m_connectionBytes = 0; ///< charges of all connections but closing ones
    std::size_t m_requestBytes = 0;
    std::size_t m_lingering = 0;
    std::array<std::uint64_t, 3> m_refusals{}; ///< by InputLimit
};

} // namespace Peridot
