#include <Kernel/Jobs/StartOrder.h>

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

namespace Peridot::Jobs {

namespace {

// A job whose result is of no use any more waits for room that nobody else needs, but not for
// longer than this.
constexpr std::chrono::seconds longestUselessWait{30};

/// The order of the classes is that of their jobs.
enum class StartClass {
    First, ///< has no deadline, or has waited for very long
    InTime,
    PutBack, ///< could be in time, but would make others late
    Late,
};

/// Place of a job in the order. Lower values go first.
struct Rank
{
    bool isUseless = false;
    unsigned priority = 0;
    bool isOutOfProfile = false;
    StartClass startClass = StartClass::InTime;
    double weightedShare = 0; ///< only of jobs out of profile
    Duration::rep position = 0; ///< within the class

    auto tie() const
    {
        return std::tie(isUseless, priority, isOutOfProfile, startClass, weightedShare, position);
    }
    /// Whether the jobs compete for the same room, before that of lower groups.
    bool isSameGroup(const Rank &other) const
    {
        return std::tie(isUseless, priority, isOutOfProfile)
               == std::tie(other.isUseless, other.priority, other.isOutOfProfile);
    }
};

struct RankedJob
{
    Rank rank;
    WaitingJob job;
};

Rank rankOf(TimePoint now, const WaitingJob &job)
{
    Rank rank;
    rank.priority = job.priority;
    rank.isOutOfProfile = !job.isInProfile;
    rank.weightedShare = job.isInProfile ? 0 : job.weightedShare;
    rank.position = job.latestStart.time_since_epoch().count();
    if (job.isLongRunning) {
        rank.startClass = StartClass::First;
        return rank;
    }
    if (now <= job.latestStart)
        return rank;
    rank.startClass = StartClass::Late;
    rank.position = job.waitingSince.time_since_epoch().count();
    if (now <= job.latestUsefulStart)
        return rank;
    if (now < job.latestUsefulStart + longestUselessWait)
        rank.isUseless = true;
    else
        rank.startClass = StartClass::First;
    return rank;
}

bool isBefore(const RankedJob &left, const RankedJob &right)
{
    return left.rank.tie() < right.rank.tie();
}

/// Plans jobs one after the other, as if each took the whole pool for its time, and puts back those
/// whose work would make others late.
class PoolPlan
{
public:
    explicit PoolPlan(Duration busyTime) : m_planned(busyTime) { }

    /// The jobs planned so far are not put back for those that follow.
    void beginGroup() { m_group = {}; }

    void add(TimePoint now, RankedJob &job)
    {
        const Duration before = m_planned;
        m_planned += job.job.poolTime;
        if (job.rank.startClass != StartClass::InTime)
            return;
        m_group.emplace(job.job.poolTime, &job);
        if (now + before <= job.job.latestStart)
            return;
        auto [time, largest] = m_group.top();
        m_group.pop();
        m_planned -= time;
        largest->rank.startClass = StartClass::PutBack;
        largest->rank.position = time.count();
    }

private:
    using Entry = std::pair<Duration, RankedJob *>;
    struct IsSmaller
    {
        bool operator()(const Entry &left, const Entry &right) const
        {
            return left.first < right.first;
        }
    };

    Duration m_planned;
    std::priority_queue<Entry, std::vector<Entry>, IsSmaller> m_group;
};

} // namespace

void sortForStart(TimePoint now, Duration busyTime, std::vector<WaitingJob> &jobs)
{
    std::vector<RankedJob> ranked;
    ranked.reserve(jobs.size());
    for (const WaitingJob &job : jobs)
        ranked.push_back({rankOf(now, job), job});
    std::sort(ranked.begin(), ranked.end(), isBefore);
    PoolPlan plan(busyTime);
    const Rank *group = nullptr;
    for (RankedJob &job : ranked) {
        if (group == nullptr || !group->isSameGroup(job.rank))
            plan.beginGroup();
        group = &job.rank;
        plan.add(now, job);
    }
    std::sort(ranked.begin(), ranked.end(), isBefore);
    std::transform(ranked.begin(), ranked.end(), jobs.begin(),
                   [](const RankedJob &entry) { return entry.job; });
}

} // namespace Peridot::Jobs
