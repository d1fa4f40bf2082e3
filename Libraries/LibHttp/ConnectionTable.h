#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace Peridot {

/// Open requests of each connection of one server. Thread-safe; the shards keep the server threads
/// from waiting for each other.
class ConnectionTable
{
public:
    void connectionOpened() { m_connections.fetch_add(1, std::memory_order_relaxed); }

    void requestStarted(std::uint64_t connection, std::uint64_t serial)
    {
        Shard &shard = shardOf(connection);
        const std::lock_guard lock(shard.mutex);
        shard.open[connection].push_back(serial);
    }

    void requestFinished(std::uint64_t connection, std::uint64_t serial)
    {
        Shard &shard = shardOf(connection);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.open.find(connection);
        if (found == shard.open.end())
            return;
        std::erase(found->second, serial);
        if (found->second.empty())
            shard.open.erase(found);
    }

    /// Returns the requests that were still open on the connection.
    std::vector<std::uint64_t> connectionClosed(std::uint64_t connection)
    {
        m_connections.fetch_sub(1, std::memory_order_relaxed);
        Shard &shard = shardOf(connection);
        const std::lock_guard lock(shard.mutex);
        auto node = shard.open.extract(connection);
        return node.empty() ? std::vector<std::uint64_t>{} : std::move(node.mapped());
    }

    bool hasOpenRequest(std::uint64_t connection)
    {
        Shard &shard = shardOf(connection);
        const std::lock_guard lock(shard.mutex);
        return shard.open.count(connection) != 0;
    }

    void responsePending() { m_pendingResponses.fetch_add(1, std::memory_order_relaxed); }
    void responseWritten() { m_pendingResponses.fetch_sub(1, std::memory_order_relaxed); }
    std::size_t pendingResponses() const
    {
        return m_pendingResponses.load(std::memory_order_relaxed);
    }

    std::size_t connections() const { return m_connections.load(std::memory_order_relaxed); }

private:
    static constexpr std::size_t shardCount = 16;

    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> open;
    };

    Shard &shardOf(std::uint64_t connection) { return m_shards[connection % shardCount]; }

    std::array<Shard, shardCount> m_shards;
    std::atomic<std::size_t> m_connections{0};
    std::atomic<std::size_t> m_pendingResponses{0};
};

} // namespace Peridot
