#pragma once

#include "CallStatistics.h"
#include "FaultRules.h"
#include "PlatformMessage.h"
#include "PlatformSettings.h"
#include "WorkerFleet.h"
#include <LibStore/MemoryStore.h>
#include <LibStore/TokenBucket.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Peridot {

/// The platform without its sockets: table service, objects, hosts and workers. Single-threaded;
/// the time is passed in.
class Platform
{
public:
    using AnswerCallback = std::function<void(const PlatformAnswer &)>;

    Platform(const PlatformSettings &settings, TimePoint now);

    /// Answers at once, or in a later tick() when a fault delays the answer.
    void handle(TimePoint now, const PlatformRequest &request, const AnswerCallback &callback);

    /// Lets workers and delayed answers proceed. To be called every few milliseconds.
    void tick(TimePoint now);

    FaultRules &faults() { return m_faults; }
    WorkerFleet &fleet() { return m_fleet; }
    CallStatistics &statistics() { return m_statistics; }
    const MemoryStore &table() const { return m_table; }
    void setRateCaps(TimePoint now, double writesPerSecond, double readsPerSecond);
    /// Rows, faults and workers, for people and tests.
    Json::Value dumpState(TimePoint now) const;

private:
    using Handler = std::function<PlatformAnswer()>;

    static std::optional<Endpoint> endpointOf(const PlatformRequest &request);
    void handleCommit(const PlatformRequest &request, const AnswerCallback &callback);
    void handleRead(const PlatformRequest &request, const AnswerCallback &callback);
    void handleScan(const PlatformRequest &request, const AnswerCallback &callback);
    void handleDirect(Endpoint endpoint, const PlatformRequest &request,
                      const AnswerCallback &callback);
    void runWithFault(const StoreFault &fault, const Handler &perform,
                      const AnswerCallback &callback);
    PlatformAnswer perform(Endpoint endpoint, const PlatformRequest &request);
    PlatformAnswer performObject(const PlatformRequest &request);
    PlatformAnswer performWorker(Endpoint endpoint, const PlatformRequest &request);
    Store::ReadCallback answerRead(const AnswerCallback &callback);
    bool admitRead(const std::string &client, double cost, const AnswerCallback &callback);
    bool admitWrite(const std::string &client, double cost, const AnswerCallback &callback);
    StoreFault faultOf(StoreCallKind kind);
    void schedule(Duration delay, std::function<void()> work);

    TimePoint m_now;
    FaultRules m_faults;
    StoreFaultKind m_latestTableFault = StoreFaultKind::None;
    MemoryStore m_table;
    TokenBucket m_writeCap;
    TokenBucket m_readCap;
    WorkerFleet m_fleet;
    CallStatistics m_statistics;
    std::map<std::string, std::string> m_objects;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_scheduled;
    std::uint64_t m_sequence = 0;
};

} // namespace Peridot
