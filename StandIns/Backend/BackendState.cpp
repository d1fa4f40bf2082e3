#include "BackendState.h"

#include <LibBase/Json.h>
#include <algorithm>

namespace Peridot {

BackendState::BackendState(const BackendSettings &settings)
    : m_settings(settings), m_serviceMicroseconds(settings.serviceTime.count())
{
}

Fault BackendState::nextFault(Fault requested)
{
    const std::lock_guard lock(m_mutex);
    if (m_faultsLeft == 0)
        return requested;
    --m_faultsLeft;
    return m_fault;
}

void BackendState::setFault(Fault fault, std::uint64_t count)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    m_faultsLeft = count;
}

std::chrono::microseconds BackendState::serviceTime() const
{
    return std::chrono::microseconds(m_serviceMicroseconds.load());
}

void BackendState::setServiceTime(std::chrono::microseconds time)
{
    m_serviceMicroseconds = time.count();
}

bool BackendState::takeSlot()
{
    const std::lock_guard lock(m_mutex);
    if (m_slotsInUse >= m_settings.slots) {
        ++m_refused;
        return false;
    }
    ++m_slotsInUse;
    m_mostSlotsInUse = std::max(m_mostSlotsInUse, m_slotsInUse);
    return true;
}

void BackendState::returnSlot()
{
    const std::lock_guard lock(m_mutex);
    --m_slotsInUse;
}

std::uint64_t BackendState::countRun(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    ++m_totalRuns;
    return requestId.empty() ? 0 : ++m_runs[requestId];
}

void BackendState::countConnection()
{
    const std::lock_guard lock(m_mutex);
    ++m_connections;
}

void BackendState::recordArrival()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::lock_guard lock(m_mutex);
    ++m_arrivals;
    m_lastArrivalMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string BackendState::describeArrivals() const
{
    Json::Value value;
    const std::lock_guard lock(m_mutex);
    value["arrivals"] = Json::UInt64(m_arrivals);
    value["last_arrival_ms"] = Json::Int64(m_lastArrivalMilliseconds);
    return writeJson(value);
}

std::string BackendState::describeRuns() const
{
    Json::Value value;
    const std::lock_guard lock(m_mutex);
    value["server"] = m_settings.name;
    value["total"] = Json::UInt64(m_totalRuns);
    value["refused"] = Json::UInt64(m_refused);
    value["connections"] = Json::UInt64(m_connections);
    value["most_slots_in_use"] = m_mostSlotsInUse;
    value["runs"] = Json::objectValue;
    for (const auto &[id, count] : m_runs)
        value["runs"][id] = Json::UInt64(count);
    return writeJson(value);
}

} // namespace Peridot
