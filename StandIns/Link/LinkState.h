#pragma once

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <mutex>
#include <set>
#include <string>

namespace Peridot {

/// Cuts, delay and counters of one link. Thread-safe: the control server changes it, the relay
/// reads it.
class LinkState
{
public:
    /// Cuts the link for everyone, or with a \a sender ("ip:port") for what that one sends.
    void cut(const std::string &sender);
    /// Ends all cuts of the link, or with a \a sender that one.
    void heal(const std::string &sender);
    void setDelay(std::chrono::milliseconds delay);

    bool isCut(const std::string &sender) const;
    std::chrono::milliseconds delay() const;

    void countForwarded(std::size_t bytes);
    void countDropped(std::size_t bytes);
    /// {"cut", "cut_senders", "delay_ms", "forwarded_bytes", "dropped_bytes"}
    Json::Value describe() const;

private:
    mutable std::mutex m_mutex;
    bool m_cut = false;
    std::set<std::string> m_cutSenders;
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_forwarded = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Peridot
