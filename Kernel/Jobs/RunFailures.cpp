#include <Kernel/Jobs/RunFailures.h>

namespace Peridot::Jobs {

namespace {

// Number of failed runs that indicate a worker.
constexpr unsigned failedRunsLimit = 3;
// Number of steps that indicate a worker when runs of each have failed there, whatever was the
// cause: several workers that fail all runs make the jobs that run on no others look at fault.
constexpr std::size_t failedStepsLimit = 5;

} // namespace

void RunFailures::add(const TaskName &step)
{
    const auto found = m_runsByStep.find(step);
    if (found != m_runsByStep.end())
        ++found->second;
    else if (m_runsByStep.size() < failedStepsLimit)
        m_runsByStep.emplace(step, 1);
}

void RunFailures::attributeToJob(const TaskName &step)
{
    const auto found = m_runsByStep.find(step);
    if (found != m_runsByStep.end())
        found->second = 0;
}

bool RunFailures::indicateWorker(const IsJobAtFault &isJobAtFault) const
{
    unsigned failedRuns = 0;
    for (const auto &[step, runs] : m_runsByStep) {
        if (runs > 0 && !isJobAtFault(step))
            failedRuns += runs;
    }
    return failedRuns >= failedRunsLimit || m_runsByStep.size() >= failedStepsLimit;
}

} // namespace Peridot::Jobs
