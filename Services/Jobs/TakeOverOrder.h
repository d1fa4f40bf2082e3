#pragma once

#include <LibBase/Time.h>
#include <optional>

namespace Peridot::Jobs {

/// Decides whether this process may take the free lease of the scheduler. A process on a slower
/// host waits for a while, so that one on a faster host takes it first.
class TakeOverOrder
{
public:
    /// \a processors: of this host, in cores of the platform. \a pause: time that faster hosts need
    /// to see that the lease is free.
    TakeOverOrder(double processors, Duration pause);

    /// \a fastest: processors of the fastest host that has ever run a process; nothing while that
    /// is not known, when this process waits as well.
    void observe(TimePoint now, bool leaseIsFree, std::optional<double> fastest);
    bool mayTake(TimePoint now) const;
    /// Whether this host is faster than all that were known at the last observation.
    bool isFastest() const { return !m_fastest || *m_fastest < m_processors; }

private:
    double m_processors;
    Duration m_pause;
    std::optional<double> m_fastest;
    std::optional<TimePoint> m_freeSince;
};

} // namespace Peridot::Jobs
