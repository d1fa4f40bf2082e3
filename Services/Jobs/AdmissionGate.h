#pragma once

#include <Kernel/Jobs/AdmissionLimits.h>
#include <Kernel/Jobs/OfferedReport.h>
#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibStore/Transaction.h>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace Peridot::Jobs {

/// The limits that the scheduler has set for the submissions to overloaded queues, as a process
/// that accepts jobs applies them. Single-threaded.
class AdmissionGate
{
public:
    /// \a seed should differ between processes.
    explicit AdmissionGate(std::uint64_t seed) : m_random(seed) { }

    /// Takes the row of the limits. A malformed row removes all limits.
    void limitsChanged(TimePoint now, const Row &row);
    /// Decides about a submission of \a organisation (empty: none) to \a queue, whose job has this
    /// estimated work: nothing when it is accepted, otherwise the time after which it should be
    /// repeated.
    std::optional<std::chrono::seconds> refuse(TimePoint now, const std::string &queue,
                                               const std::string &organisation, double work);
    /// What was submitted since the process started.
    const OfferedCounts &counts() const { return m_counts; }
    /// Whether limits are in force at \a now.
    bool isLimiting(TimePoint now) const;
    /// Limits in force at \a now.
    AdmissionLimits limits(TimePoint now) const;

private:
    /// Queue, organisation with a limit of its own (empty: the others), and whether the job is
    /// large.
    using CreditKey = std::tuple<std::string, std::string, bool>;

    std::optional<std::chrono::seconds> applyLimit(TimePoint now, const std::string &queue,
                                                   const std::string &organisation, double work);
    void addWork(const std::string &queue, double work);

    AdmissionLimits m_limits;
    OfferedCounts m_counts;
    TimePoint m_receivedAt;
    RandomSource m_random;
    std::map<std::string, std::deque<double>> m_works; ///< of the latest submissions, by queue
    /// Sum of the accepted shares of the submissions since the latest accepted one. It begins at
    /// random, so that a small share holds for many processes with few submissions each.
    std::map<CreditKey, double> m_credits;
};

} // namespace Peridot::Jobs
