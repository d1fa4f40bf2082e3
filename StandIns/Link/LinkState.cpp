#include "LinkState.h"

namespace Peridot {

void LinkState::cut(const std::string &sender)
{
    const std::lock_guard lock(m_mutex);
    if (sender.empty())
        m_cut = true;
    else
        m_cutSenders.insert(sender);
}

void LinkState::heal(const std::string &sender)
{
    const std::lock_guard lock(m_mutex);
    if (!sender.empty()) {
        m_cutSenders.erase(sender);
        return;
    }
    m_cut = false;
    m_cutSenders.clear();
}

void LinkState::setDelay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

bool LinkState::isCut(const std::string &sender) const
{
    const std::lock_guard lock(m_mutex);
    return m_cut || m_cutSenders.count(sender) != 0;
}

std::chrono::milliseconds LinkState::delay() const
{
    const std::lock_guard lock(m_mutex);
    return m_delay;
}

void LinkState::countForwarded(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_forwarded += bytes;
}

void LinkState::countDropped(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_dropped += bytes;
}

Json::Value LinkState::describe() const
{
    const std::lock_guard lock(m_mutex);
    Json::Value value;
    value["cut"] = m_cut;
    value["cut_senders"] = Json::Value(Json::arrayValue);
    for (const auto &sender : m_cutSenders)
        value["cut_senders"].append(sender);
    value["delay_ms"] = Json::Int64(m_delay.count());
    value["forwarded_bytes"] = Json::UInt64(m_forwarded);
    value["dropped_bytes"] = Json::UInt64(m_dropped);
    return value;
}

} // namespace Peridot
