#include "CallStatistics.h"

#include <algorithm>

namespace Peridot {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
// Bounds the table against clients that invent a name for each call.
constexpr std::size_t clientLimit = 1000;

} // namespace

void CallStatistics::Peak::count(TimePoint now, std::uint64_t cost)
{
    const std::int64_t nowSecond = toUnixMilliseconds(now) / millisecondsPerSecond;
    if (nowSecond != second) {
        second = nowSecond;
        current = 0;
    }
    current += cost;
    highest = std::max(highest, current);
}

void CallStatistics::countRead(TimePoint now, const std::string &client, double cost)
{
    const auto count = static_cast<std::uint64_t>(cost);
    m_total.reads += count;
    m_readPeak.count(now, count);
    if (m_clients.contains(client) || m_clients.size() < clientLimit)
        m_clients[client].reads += count;
}

void CallStatistics::countWrite(TimePoint now, const std::string &client, double cost)
{
    const auto count = static_cast<std::uint64_t>(cost);
    m_total.writes += count;
    m_writePeak.count(now, count);
    if (m_clients.contains(client) || m_clients.size() < clientLimit)
        m_clients[client].writes += count;
}

void CallStatistics::countOther(const std::string &client)
{
    ++m_total.other;
    if (m_clients.contains(client) || m_clients.size() < clientLimit)
        ++m_clients[client].other;
}

void CallStatistics::countRefusal(const std::string &client)
{
    ++m_total.refused;
    if (m_clients.contains(client) || m_clients.size() < clientLimit)
        ++m_clients[client].refused;
}

Json::Value CallStatistics::toJson(const Counts &counts)
{
    Json::Value value(Json::objectValue);
    value["reads"] = static_cast<Json::UInt64>(counts.reads);
    value["writes"] = static_cast<Json::UInt64>(counts.writes);
    value["other"] = static_cast<Json::UInt64>(counts.other);
    value["refused"] = static_cast<Json::UInt64>(counts.refused);
    return value;
}

Json::Value CallStatistics::toJson() const
{
    Json::Value value(Json::objectValue);
    value["total"] = toJson(m_total);
    value["peak_reads_per_second"] = static_cast<Json::UInt64>(m_readPeak.highest);
    value["peak_writes_per_second"] = static_cast<Json::UInt64>(m_writePeak.highest);
    value["clients"] = Json::Value(Json::objectValue);
    for (const auto &[client, counts] : m_clients)
        value["clients"][client] = toJson(counts);
    return value;
}

} // namespace Peridot
