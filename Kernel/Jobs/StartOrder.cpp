#include <Kernel/Jobs/StartOrder.h>

#include <algorithm>
#include <cstdint>
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

// Places of the parts of Rank::group.
constexpr unsigned priorityShift = 8;
constexpr unsigned uselessShift = 48;
constexpr std::uint64_t outOfProfileBit = 1U << 4;
constexpr std::uint64_t startClassMask = outOfProfileBit - 1;

/// Place of a job in the order. Lower values go first. Thousands of them are sorted in each
/// planning pass, so that what decides first is one number.
struct Rank
{
    /// Whether the result is useless, the priority, whether the organisation is out of profile, and
    /// the StartClass, the first in the highest bits.
    std::uint64_t group = 0;
    double weightedShare = 0; ///< only of jobs out of profile
    Duration::rep position = 0; ///< within the class
    std::uint32_t index = 0; ///< of the job in the given order

    StartClass startClass() const { return static_cast<StartClass>(group & startClassMask); }
    void setStartClass(StartClass startClass)
    {
        group = (group & ~startClassMask) | static_cast<std::uint64_t>(startClass);
    }
    /// Whether the jobs compete for the same room, before that of lower groups.
    bool isSameGroup(const Rank &other) const
    {
        return (group & ~startClassMask) == (other.group & ~startClassMask);
    }
    bool operator<(const Rank &other) const
    {
        if (group != other.group)
            return group < other.group;
        return std::tie(weightedShare, position) < std::tie(other.weightedShare, other.position);
    }
};

Rank rankOf(TimePoint now, const WaitingJob &job)
{
    Rank rank;
    rank.group = static_cast<std::uint64_t>(job.priority) << priorityShift;
    if (!job.isInProfile) {
        rank.group |= outOfProfileBit;
        rank.weightedShare = job.weightedShare;
    }
    rank.position = job.latestStart.time_since_epoch().count();
    rank.setStartClass(job.isLongRunning ? StartClass::First : StartClass::InTime);
    if (job.isLongRunning || now <= job.latestStart)
        return rank;
    rank.setStartClass(StartClass::Late);
    rank.position = job.waitingSince.time_since_epoch().count();
    if (now <= job.latestUsefulStart)
        return rank;
    if (now < job.latestUsefulStart + longestUselessWait)
        rank.group |= std::uint64_t{1} << uselessShift;
    else
        rank.setStartClass(StartClass::First);
    return rank;
}

/// Plans jobs one after the other, as if each took the whole pool for its time, and puts back those
/// whose work would make others late.
class PoolPlan
{
public:
    explicit PoolPlan(Duration busyTime) : m_planned(busyTime) { }

    /// The jobs planned so far are not put back for those that follow.
    void beginGroup() { m_group = {}; }

    void add(TimePoint now, const WaitingJob &job, Rank &rank)
    {
        const Duration before = m_planned;
        m_planned += job.poolTime;
        if (rank.startClass() != StartClass::InTime)
            return;
        m_group.emplace(job.poolTime, &rank);
        if (now + before <= job.latestStart)
            return;
        auto [time, largest] = m_group.top();
        m_group.pop();
        m_planned -= time;
        largest->setStartClass(StartClass::PutBack);
        largest->position = time.count();
    }

private:
    using Entry = std::pair<Duration, Rank *>;
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
    std::vector<Rank> ranks;
    ranks.reserve(jobs.size());
    for (const WaitingJob &job : jobs) {
        ranks.push_back(rankOf(now, job));
        ranks.back().index = static_cast<std::uint32_t>(ranks.size() - 1);
    }
    std::sort(ranks.begin(), ranks.end());
    PoolPlan plan(busyTime);
    const Rank *group = nullptr;
    for (Rank &rank : ranks) {
        if (group == nullptr || !group->isSameGroup(rank))
            plan.beginGroup();
        group = &rank;
        plan.add(now, jobs[rank.index], rank);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<WaitingJob> sorted;
    sorted.reserve(jobs.size());
    for (const Rank &rank : ranks)
        sorted.push_back(jobs[rank.index]);
    jobs = std::move(sorted);
}

} // namespace Peridot::Jobs
