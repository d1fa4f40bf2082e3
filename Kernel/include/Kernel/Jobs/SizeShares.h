#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <limits>
#include <vector>

namespace Peridot::Jobs {

/// Shares of the submissions to one queue that are accepted, by the work of their jobs.
struct SizeShares
{
    double usual = 1;
    double large = 1;
    double largeFrom = std::numeric_limits<double>::infinity(); ///< least work of a large job

    double of(double work) const { return work < largeFrom ? usual : large; }
};

/// Processor time that the tasks of the job are estimated to take, in thousandths of a core times
/// seconds.
double estimatedWork(const JobSpecification &specification);

/// Splits the share of the work of a queue that is accepted: the pattern is a queue that is asked
/// for more than its pool does, by jobs whose work differs by orders of magnitude. A refusal costs
/// each caller one job, whatever its work, so that the largest three tenths are refused first. They
/// are accepted at least three fifths as often as all jobs, because they are of use to their
/// callers as well. \a works holds the work of the latest submissions, accepted or not; with few of
/// them, the share is the same for all.
SizeShares shareBySize(double share, std::vector<double> works);

} // namespace Peridot::Jobs
