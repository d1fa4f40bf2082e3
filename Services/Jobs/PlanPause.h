#pragma once

#include <LibBase/Time.h>
#include <algorithm>

namespace Peridot::Jobs {

/// The pause after a planning pass is this multiple of the duration of the pass, so that planning
/// takes at most a quarter of the processor time, as long as the pause does not reach the usual
/// maximum. One pass handles all events of a pause.
constexpr int planPauseFactor = 3;
/// A pass over hundreds of workers costs the same for one event as for a hundred. Without a
/// minimum, planning takes a quarter of the processor time however short a pass is. What a pass
/// places waits for the store anyway, which answers in 4 ms.
constexpr std::chrono::milliseconds minimumPlanPause{5};
/// The maximum for passes that take less than it. On small hosts, passes over thousands of waiting
/// jobs take 50 to 100 ms. With a pause of 20 ms they left too little time for the orders, so that
/// the pause is as long as the pass then.
constexpr std::chrono::milliseconds usualMaximumPlanPause{20};
/// A process that is suspended during a pass must not wait as long again.
constexpr std::chrono::milliseconds longestPlanPause{100};

/// Time between the end of a planning pass that took \a pass and the begin of the next one.
constexpr Duration planPauseAfter(Duration pass)
{
    const Duration maximum = std::clamp<Duration>(pass, usualMaximumPlanPause, longestPlanPause);
    return std::clamp<Duration>(pass * planPauseFactor, minimumPlanPause, maximum);
}

} // namespace Peridot::Jobs
