#pragma once

#include "PlatformPorts.h"
#include <Kernel/Jobs/AdmissionControl.h>
#include <LibBase/Time.h>
#include <memory>
#include <optional>
#include <string>

namespace Peridot::Jobs {

/// Writes the limits of the submissions to overloaded queues, for the processes that accept jobs,
/// while there are any. Single-threaded.
class AdmissionPublisher
{
public:
    /// Each write checks \a epochCheck, so that a fenced scheduler sets no limits. \a limits are
    /// those of the scheduler before.
    AdmissionPublisher(const PlatformPorts &ports, std::uint64_t epoch, RowCheck epochCheck,
                       const AdmissionLimits &limits);

    bool isDue(TimePoint now) const { return now >= m_nextUpdate; }
    /// Takes the load of the scheduler.
    void update(TimePoint now, const SchedulerDemand &demand);

private:
    void write(TimePoint now, const AdmissionLimits &limits);
    static void logLimits(const AdmissionLimits &limits);

    const PlatformPorts &m_ports;
    std::uint64_t m_epoch;
    RowCheck m_epochCheck;
    AdmissionControl m_control;
    TimePoint m_nextUpdate;
    std::optional<TimePoint> m_liftNotBefore; ///< nothing: before the first update
    bool m_writeInFlight = false;
    bool m_limitsWritten = true; ///< the row may contain limits, also of an earlier scheduler
    /// Callbacks that run after the destructor find it expired.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Peridot::Jobs
