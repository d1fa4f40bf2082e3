#include <Kernel/Jobs/SizeShares.h>

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace Peridot::Jobs {

namespace {

constexpr double largePart = 0.3; ///< of the submissions
// Large jobs are accepted at least this part as often as all. Half as often is the least that
// callers may see, and the classes of a process are not exactly those of all submissions.
constexpr double leastLargeRatio = 0.6;
// With fewer submissions, it is not known which jobs are large.
constexpr std::size_t fewestWorks = 20;

} // namespace

double estimatedWork(const JobSpecification &specification)
{
    double work = 0;
    for (const StepSpecification &step : specification.steps)
        work += static_cast<double>(step.size.milliProcessors) * step.count
                * toSeconds(step.estimatedRuntime);
    return work;
}

SizeShares shareBySize(double share, std::vector<double> works)
{
    if (share >= 1 || works.size() < fewestWorks)
        return {share, share};
    const auto count = static_cast<double>(works.size());
    const auto rank = static_cast<std::ptrdiff_t>(count * (1 - largePart));
    std::nth_element(works.begin(), works.begin() + rank, works.end());
    const double largeFrom = works[static_cast<std::size_t>(rank)];
    const auto usualEnd
        = std::partition(works.begin(), works.end(), [&](double work) { return work < largeFrom; });
    const double work = std::accumulate(works.begin(), works.end(), 0.0);
    const double usualWork = std::accumulate(works.begin(), usualEnd, 0.0);
    if (usualWork <= 0)
        return {share, share}; // the jobs are equal
    const double usualPart = static_cast<double>(usualEnd - works.begin()) / count;
    // What large jobs get at least for each usual one, from
    // large = leastLargeRatio * (usualPart * usual + (1 - usualPart) * large).
    const double least = leastLargeRatio * usualPart / (1 - leastLargeRatio * (1 - usualPart));
    const double largeWork = work - usualWork;
    SizeShares shares;
    shares.largeFrom = largeFrom;
    shares.usual = std::min(1.0, share * work / (usualWork + least * largeWork));
    shares.large = (share * work - shares.usual * usualWork) / largeWork;
    return shares;
}

} // namespace Peridot::Jobs
