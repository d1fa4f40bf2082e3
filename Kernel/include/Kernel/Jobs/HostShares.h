#pragma once

#include <map>
#include <string>

namespace Peridot::Jobs {

/// Number of hosts that a pool can use.
struct HostNeed
{
    unsigned inTime = 0; ///< for jobs that can still meet their objective, and long-running ones
    unsigned total = 0; ///< the same and for late jobs; at least inTime
    unsigned expected = 0; ///< for a peak that is expected; may be less than inTime
};

/// Divides \a hosts between pools that together need more: the pattern is several queues whose
/// peaks overlap, one of them with a backlog of late jobs. What is in time goes before what is
/// late, and between them what pools need for an expected peak. Of each, the pools get equal
/// numbers until they have what they need (max-min fairness), so that the smallest needs, which
/// most of the callers have, are met first. Returns the hosts of each pool: the larger of its whole
/// need and the expected one when there are enough.
std::map<std::string, unsigned> shareHosts(const std::map<std::string, HostNeed> &needs,
                                           unsigned hosts);

} // namespace Peridot::Jobs
