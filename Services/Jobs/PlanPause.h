#pragma once

#include <LibBase/Time.h>
#include <algorithm>

namespace Peridot::Jobs {

/// The pause after a planning pass is this multiple of the duration of the pass, so that planning
/// takes at most a quarter of the processor time, as long as the pause does not reach the maximum.
/// One pass handles all events of a pause.
constexpr int planPauseFactor = 3;
/// A pass over hundreds of workers costs the same for one event as for a hundred. Without a
/// minimum, planning takes a quarter of the processor time however short a pass is. What a pass
/// places waits for the store anyway, which answers in 4 ms.
constexpr std::chrono::milliseconds minimumPlanPause{5};
constexpr std::chrono::milliseconds maximumPlanPause{20};

/// Time between the end of a planning pass that took \a pass and the begin of the next one.
constexpr Duration planPauseAfter(Duration pass)
{
    return std::clamp<Duration>(pass * planPauseFactor, minimumPlanPause, maximumPlanPause);
}

} // namespace Peridot::Jobs
