#pragma once

#include <LibBase/Time.h>
#include <optional>

namespace Peridot::Jobs {

/// Decides whether this process may acquire the free scheduler lease. A process on a slower host
/// waits for a while, so that a process on a faster host acquires it first.
class LeaseTakeoverPolicy
{
public:
    /// \a processors is the processor capacity of this host in cores of the platform. \a pause is
    /// the time that processes on faster hosts need to see and acquire a free lease.
    LeaseTakeoverPolicy(double processors, Duration pause);

    /// Reports the state of the lease. \a fastest is the processor capacity of the fastest host
    /// that has run this service; while it is unknown, this process waits as well.
    void observe(TimePoint now, bool leaseIsFree, std::optional<double> fastest);
    bool mayAcquire(TimePoint now) const;
    /// Whether this host is faster than the fastest one at the last observation.
    bool isFastest() const { return !m_fastest || *m_fastest < m_processors; }

private:
    double m_processors;
    Duration m_pause;
    std::optional<double> m_fastest;
    std::optional<TimePoint> m_freeSince;
};

} // namespace Peridot::Jobs
