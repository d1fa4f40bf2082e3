#pragma once

#include <Kernel/Jobs/OrganisationShares.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Peridot::Jobs {

/// Submissions of one organisation to one queue.
struct OrganisationBacklog
{
    std::uint64_t acceptedJobs = 0; ///< since the scheduler began
    /// What the processes that accept jobs report, in jobs per second. 0: no report is known.
    double reportedOffered = 0;
    double reportedAccepted = 0;
};

/// Estimates what the organisations submit to one queue, accepted or not. The reports of processes
/// count as they are. What was accepted by processes without a report is divided by the share of
/// the submissions that they accept.
class OrganisationArrivals
{
public:
    /// \a inForce are the shares that were in force since the last call.
    void add(Duration elapsed, const std::map<std::string, OrganisationBacklog> &organisations,
             const QueueShares &inForce);
    /// Jobs per second by organisation (empty: none).
    std::map<std::string, double> offered() const;
    double totalOffered() const;

    /// Time in seconds in which the submissions that were refused since the organisation is beyond
    /// its rate could be served, at the rate at which its submissions are accepted.
    double retryAfter(const std::string &organisation) const;
    /// Counts the refusals of the organisations with a share of their own, and forgets those of
    /// the others.
    void countRefusals(Duration elapsed, const QueueShares &inForce);

private:
    struct Rates
    {
        std::optional<std::uint64_t> acceptedJobs; ///< at the latest update
        unsigned samples = 0; ///< updates so far, up to a constant
        double accepted = 0; ///< jobs per second
        double estimated = 0; ///< submissions per second, from the accepted jobs
        double offered = 0; ///< submissions per second, with the reports
        double refusedJobs = 0;
    };
    static void update(Rates &rates, double seconds, std::uint64_t acceptedJobs, double share);

    std::map<std::string, Rates> m_rates; ///< by organisation
};

} // namespace Peridot::Jobs
