#pragma once

#include <LibBase/Time.h>
#include <optional>

namespace Peridot::Jobs {

/// Decides whether this process may acquire the scheduler lease when it is free. A process on a
/// slow host waits for a delay, so that a process on a faster host can acquire the lease first.
class LeaseTakeoverPolicy
{
public:
    /// \a processors is the processor capacity of this host, see JobServiceSettings. \a delay is
    /// the time that processes on faster hosts need to observe and acquire a free lease.
    LeaseTakeoverPolicy(double processors, Duration delay);

    /// Takes the observed state of the lease. \a fastest is the processor capacity of the fastest
    /// host that has run this service so far; while it is unknown, this process waits as well.
    void observe(TimePoint now, bool leaseIsFree, std::optional<double> fastest);
    bool mayAcquire(TimePoint now) const;
    /// Whether this host is faster than the fastest host at the latest observation, or that host
    /// is unknown.
    bool isFastest() const { return !m_fastest || *m_fastest < m_processors; }

private:
    double m_processors;
    Duration m_delay;
    std::optional<double> m_fastest; ///< processor capacity of the fastest host
    std::optional<TimePoint> m_freeSince; ///< nothing: not free, or not observed yet
};

} // namespace Peridot::Jobs
