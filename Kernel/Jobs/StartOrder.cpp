#include <Kernel/Jobs/StartOrder.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
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

/// Place of a job in the order. Lower values go first. Kept small, because a pass may sort many
/// thousands.
struct Rank
{
    /// Jobs of one group compete for the same room, before that of higher groups: whether the
    /// result is of no use, the priority, and whether the job is out of profile.
    std::uint64_t group = 0;
    StartClass startClass = StartClass::InTime;
    std::uint32_t index = 0; ///< of the job
    double weightedShare = 0; ///< only of jobs out of profile
    Duration::rep position = 0; ///< within the class
    /// Among jobs that were put back and take equally long: the one that can wait longest first, as
    /// it may still be in time.
    Duration::rep slack = 0;
};

bool operator<(const Rank &left, const Rank &right)
{
    if (left.group != right.group)
        return left.group < right.group;
    if (left.startClass != right.startClass)
        return left.startClass < right.startClass;
    if (left.weightedShare != right.weightedShare)
        return left.weightedShare < right.weightedShare;
    if (left.position != right.position)
        return left.position < right.position;
    if (left.slack != right.slack)
        return left.slack > right.slack;
    return left.index < right.index;
}

std::uint64_t groupOf(bool isUseless, const WaitingJob &job)
{
    constexpr unsigned priorityBits = 32;
    const std::uint64_t useless = isUseless ? 1 : 0;
    const std::uint64_t outOfProfile = job.isInProfile ? 0 : 1;
    return (((useless << priorityBits) | job.priority) << 1) | outOfProfile;
}

Rank rankOf(TimePoint now, const WaitingJob &job)
{
    const bool isLate = !job.isLongRunning && now > job.latestStart;
    const bool isOfNoUse = isLate && now > job.latestUsefulStart;
    const bool hasWaitedLongest = isOfNoUse && now >= job.latestUsefulStart + longestUselessWait;
    Rank rank;
    rank.group = groupOf(isOfNoUse && !hasWaitedLongest, job);
    rank.weightedShare = job.isInProfile ? 0 : job.weightedShare;
    const TimePoint position = isLate ? job.waitingSince : job.latestStart;
    rank.position = position.time_since_epoch().count();
    if (job.isLongRunning || hasWaitedLongest)
        rank.startClass = StartClass::First;
    else if (isLate)
        rank.startClass = StartClass::Late;
    return rank;
}

/// Plans jobs one after the other, as if each took the whole pool for its time, and puts back those
/// whose work would make others late.
class PoolPlan
{
public:
    explicit PoolPlan(Duration busyTime) : m_planned(busyTime) { }

    /// The jobs planned so far are not put back for those that follow, and all start before them.
    void beginGroup()
    {
        m_group = {};
        m_planned += std::exchange(m_putBack, Duration{0});
    }

    void add(TimePoint now, const WaitingJob &job, Rank &rank)
    {
        const Duration before = m_planned;
        m_planned += job.poolTime;
        if (rank.startClass != StartClass::InTime)
            return;
        m_group.push({job.poolTime, job.latestStart, &rank});
        if (now + before <= job.latestStart)
            return;
        const auto [time, latestStart, largest] = m_group.top();
        m_group.pop();
        m_planned -= time;
        m_putBack += time;
        largest->startClass = StartClass::PutBack;
        largest->position = time.count();
        largest->slack = latestStart.time_since_epoch().count();
    }

private:
    struct Entry
    {
        Duration time{0};
        TimePoint latestStart;
        Rank *rank = nullptr;
    };
    struct IsPutBackLater
    {
        bool operator()(const Entry &left, const Entry &right) const
        {
            if (left.time != right.time)
                return left.time < right.time;
            // Of equal jobs, the newest, for which the pool may still grow.
            return left.latestStart < right.latestStart;
        }
    };

    Duration m_planned;
    Duration m_putBack{0}; ///< of the current group
    std::priority_queue<Entry, std::vector<Entry>, IsPutBackLater> m_group;
};

/// Moves the jobs that were put back to their place; the others are sorted already.
void movePutBack(std::vector<Rank> &ranks)
{
    const auto isPutBack = [](const Rank &rank) {
        return rank.startClass == StartClass::PutBack;
    };
    const auto putBack = std::stable_partition(ranks.begin(), ranks.end(), std::not_fn(isPutBack));
    std::sort(putBack, ranks.end());
    std::inplace_merge(ranks.begin(), putBack, ranks.end());
}

} // namespace

void sortForStart(TimePoint now, Duration busyTime, std::vector<WaitingJob> &jobs)
{
    std::vector<Rank> ranks;
    ranks.reserve(jobs.size());
    for (const WaitingJob &job : jobs) {
        ranks.push_back(rankOf(now, job));
        ranks.back().index = static_cast<std::uint32_t>(ranks.size() - 1);
    }
    std::sort(ranks.begin(), ranks.end());
    PoolPlan plan(busyTime);
    std::uint64_t group = 0;
    for (Rank &rank : ranks) {
        if (rank.group != std::exchange(group, rank.group))
            plan.beginGroup();
        plan.add(now, jobs[rank.index], rank);
    }
    movePutBack(ranks);
    std::vector<WaitingJob> sorted;
    sorted.reserve(jobs.size());
    for (const Rank &rank : ranks)
        sorted.push_back(jobs[rank.index]);
    jobs = std::move(sorted);
}

} // namespace Peridot::Jobs
