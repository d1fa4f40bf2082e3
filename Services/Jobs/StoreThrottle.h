#pragma once

#include <LibBase/Time.h>

namespace Peridot::Jobs {

/// Share of the calls of one kind that this process passes on to the store. All processes together
/// may make a limited number of calls a second. Beyond that the store refuses calls of each of
/// them, among them renewals of the scheduler lease, so that the calls for callers must leave room:
/// the share falls by a factor with refusals of the store, and rises steadily without them.
/// Single-threaded.
class StoreThrottle
{
public:
    /// Whether the next call may be made.
    bool admit(TimePoint now);
    /// The store refused a call because of the rate of all calls.
    void refusedByStore(TimePoint now);
    /// Time after which a call that was not admitted should be repeated.
    std::chrono::seconds retryAfter() const;

private:
    void rise(TimePoint now);

    double m_share = 1;
    double m_credit = 0; ///< sum of the shares since the latest admitted call
    TimePoint m_risenAt; ///< up to which the share has risen
    TimePoint m_nextFall; ///< earliest time of the next decrease
};

} // namespace Peridot::Jobs
