#include <LibHttp/InputBudget.h>

#include <algorithm>
#include <utility>

namespace Peridot {

namespace {

// Read buffer, parser, socket and header table of a connection.
constexpr std::size_t connectionBytes = 8UL * 1024;
// A body string grows by doubling, so it may hold twice its bytes; short header fields take more.
constexpr std::size_t inputFactor = 2;
// Decoded call, its row and its timers.
constexpr std::size_t requestBytes = 16UL * 1024;
// The body is held by the server and by the message; its decoded form takes as much again.
constexpr std::size_t bodyFactor = 4;

} // namespace

InputBudget::ServerId InputBudget::addServer(std::size_t maximumConnections)
{
    const std::lock_guard lock(m_mutex);
    m_servers.push_back({maximumConnections, 0});
    return m_servers.size() - 1;
}

std::size_t InputBudget::chargeOf(const Connection &connection)
{
    return connectionBytes + connection.inputBytes * inputFactor + connection.answerBytes;
}

void InputBudget::restartWait(Connection &connection)
{
    if (connection.inputBytes == 0 && connection.answerBytes == 0 && connection.requests == 0
        && !connection.pipelines)
        connection.waitingSince = ++m_sequence;
}

template <typename Change>
void InputBudget::update(const Key &key, Change change)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end() || found->second.closing)
        return;
    m_connectionBytes -= chargeOf(found->second);
    change(found->second);
    m_connectionBytes += chargeOf(found->second);
}

template <typename Predicate>
bool InputBudget::closeLongestWaiting(InputLimit reason, Predicate eligible)
{
    auto longest = m_connections.end();
    for (auto entry = m_connections.begin(); entry != m_connections.end(); ++entry) {
        const Connection &connection = entry->second;
        if (connection.closing || (connection.requests > 0 && !connection.pipelines)
            || !eligible(*entry))
            continue;
        if (longest == m_connections.end()
            || connection.waitingSince < longest->second.waitingSince)
            longest = entry;
    }
    if (longest == m_connections.end())
        return false;
    Connection &connection = longest->second;
    connection.closing = true;
    m_connectionBytes -= chargeOf(connection);
    --m_servers[longest->first.first].connections;
    count(reason);
    connection.close(connection.answerBytes > 0 || connection.requests > 0);
    return true;
}

void InputBudget::enforceBytes()
{
    const auto holdsBytes = [](const auto &entry) {
        return entry.second.inputBytes > 0 || entry.second.answerBytes > 0;
    };
    while (exceeded() && closeLongestWaiting(InputLimit::Bytes, holdsBytes)) { }
}

void InputBudget::connectionOpened(ServerId server, std::uint64_t connection, CloseFunction close)
{
    const std::lock_guard lock(m_mutex);
    Server &owner = m_servers[server];
    Connection &entry = m_connections[{server, connection}];
    entry.close = std::move(close);
    entry.waitingSince = ++m_sequence;
    m_connectionBytes += chargeOf(entry);
    ++owner.connections;
    if (owner.connections > owner.maximumConnections)
        closeLongestWaiting(InputLimit::Connections,
                            [server](const auto &other) { return other.first.first == server; });
    enforceBytes();
}

void InputBudget::connectionClosed(ServerId server, std::uint64_t connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find({server, connection});
    if (found == m_connections.end())
        return;
    if (!found->second.closing) {
        m_connectionBytes -= chargeOf(found->second);
        --m_servers[server].connections;
    }
    m_connections.erase(found);
}

void InputBudget::inputReceived(ServerId server, std::uint64_t connection, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    update({server, connection}, [&](Connection &entry) {
        // The time from the first byte on counts, so that a client gains nothing by small pieces.
        restartWait(entry);
        entry.inputBytes += bytes;
    });
    enforceBytes();
}

std::unique_ptr<InputBudget::RequestCharge>
InputBudget::beginRequest(const std::shared_ptr<InputBudget> &budget, ServerId server,
                          std::uint64_t connection, std::size_t bodyBytes)
{
    const std::size_t charge = requestBytes + bodyBytes * bodyFactor;
    const std::lock_guard lock(budget->m_mutex);
    // Its client is told that nothing has run.
    const auto found = budget->m_connections.find({server, connection});
    if (found != budget->m_connections.end() && found->second.closing)
        return nullptr;
    budget->update({server, connection}, [](Connection &entry) {
        entry.inputBytes = 0;
        entry.pipelines = entry.pipelines || entry.requests > 0 || entry.answerBytes > 0;
        ++entry.requests;
    });
    budget->m_requestBytes += charge;
    budget->enforceBytes();
    if (budget->exceeded()) {
        budget->m_requestBytes -= charge;
        budget->count(InputLimit::Requests);
        return nullptr;
    }
    return std::make_unique<RequestCharge>(budget, charge);
}

void InputBudget::releaseRequest(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_requestBytes -= bytes;
}

void InputBudget::answerQueued(ServerId server, std::uint64_t connection, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    update({server, connection}, [&](Connection &entry) {
        if (entry.requests > 0)
            --entry.requests;
        restartWait(entry);
        entry.answerBytes += bytes;
    });
    enforceBytes();
}

void InputBudget::answerWritten(ServerId server, std::uint64_t connection, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    update({server, connection}, [&](Connection &entry) {
        entry.answerBytes -= std::min(bytes, entry.answerBytes);
        restartWait(entry);
    });
}

bool InputBudget::beginLingering()
{
    const std::lock_guard lock(m_mutex);
    if (m_lingering >= m_limits.lingering)
        return false;
    ++m_lingering;
    return true;
}

void InputBudget::endLingering()
{
    const std::lock_guard lock(m_mutex);
    --m_lingering;
}

std::uint64_t InputBudget::refusals(InputLimit limit) const
{
    const std::lock_guard lock(m_mutex);
    return m_refusals[static_cast<std::size_t>(limit)];
}

std::size_t InputBudget::chargedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_connectionBytes + m_requestBytes;
}

} // namespace Peridot
