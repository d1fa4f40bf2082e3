#pragma once

#include <Kernel/Jobs/AdmissionLimits.h>
#include <LibBase/Time.h>
#include <LibStore/Transaction.h>
#include <map>
#include <optional>
#include <string>

namespace Peridot::Jobs {

/// The limits that the scheduler has set for the submissions to overloaded queues, as a process
/// that accepts jobs applies them. Single-threaded.
class AdmissionGate
{
public:
    /// Takes the row of the limits. A malformed row removes all limits.
    void limitsChanged(TimePoint now, const Row &row);
    /// Decides about a submission to \a queue: nothing when it is accepted, otherwise the time
    /// after which it should be repeated.
    std::optional<std::chrono::seconds> refuse(TimePoint now, const std::string &queue);

private:
    AdmissionLimits m_limits;
    TimePoint m_receivedAt;
    /// Sum of the accepted shares of the submissions since the latest accepted one, by queue.
    std::map<std::string, unsigned> m_credits;
};

} // namespace Peridot::Jobs
