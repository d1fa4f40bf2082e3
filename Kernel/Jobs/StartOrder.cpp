#include <Kernel/Jobs/StartOrder.h>

#include <algorithm>
#include <tuple>

namespace Peridot::Jobs {

void sortForStart(TimePoint now, std::int64_t /*milliProcessors*/, std::vector<WaitingJob> &jobs)
{
    const auto rank = [now](const WaitingJob &job) {
        const bool overdue = !job.isLongRunning && now > job.deadline;
        return std::make_tuple(job.priority, overdue, job.deadline);
    };
    std::sort(jobs.begin(), jobs.end(), [&](const WaitingJob &left, const WaitingJob &right) {
        return rank(left) < rank(right);
    });
}

} // namespace Peridot::Jobs
