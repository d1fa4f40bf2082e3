#pragma once

#include "BackendSettings.h"
#include "Fault.h"
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Peridot {

/// State shared by the connections of the stand-in: slots, counts of runs, faults set by control
/// calls. Thread-safe.
class BackendState
{
public:
    explicit BackendState(const BackendSettings &settings);

    const BackendSettings &settings() const { return m_settings; }

    /// Fault for the next request: one set by a control call, otherwise \a requested.
    Fault nextFault(Fault requested);
    /// Sets \a fault for the next \a count requests; 0 requests clears it.
    void setFault(Fault fault, std::uint64_t count);

    std::chrono::microseconds serviceTime() const;
    void setServiceTime(std::chrono::microseconds time);

    bool takeSlot();
    void returnSlot();

    /// Counts one run and returns the number of runs of this id. Requests without an id are counted
    /// in the total only.
    std::uint64_t countRun(const std::string &requestId);

    void countConnection();
    /// Records the time at which a whole request arrived, refused or not.
    void recordArrival();

    /// JSON text: total runs, most slots in use, refused requests, accepted
    /// connections, runs of each request id.
    std::string describeRuns() const;
    /// JSON text: number of requests that arrived, and the time of the last one in milliseconds
    /// since 1970.
    std::string describeArrivals() const;

private:
    BackendSettings m_settings;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_totalRuns = 0;
    unsigned m_slotsInUse = 0;
    unsigned m_mostSlotsInUse = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_connections = 0;
    std::uint64_t m_arrivals = 0;
    std::int64_t m_lastArrivalMilliseconds = 0;
    Fault m_fault = Fault::None;
    std::uint64_t m_faultsLeft = 0;
    std::atomic<std::int64_t> m_serviceMicroseconds;
};

} // namespace Peridot
