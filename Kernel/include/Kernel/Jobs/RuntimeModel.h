#pragma once

#include <LibBase/Time.h>

namespace Peridot::Jobs {

/// Predicts the runtimes of the tasks of one queue from past ones. Declared estimates can be wrong
/// by orders of magnitude, so log(measured) is regressed on log(estimate). Where the estimates do
/// not correlate with the measurements, the prediction is the typical runtime of the queue. The
/// weight of old samples decays exponentially.
class RuntimeModel
{
public:
    void addSample(Duration estimate, Duration measured);
    /// Expected runtime of a task with this estimate. Returns the estimate itself until there are
    /// enough samples.
    Duration predict(Duration estimate) const;

private:
    // Sums with exponential decay, of x = log(estimate) and y = log(measured).
    double m_weight = 0;
    double m_x = 0;
    double m_y = 0;
    double m_xx = 0;
    double m_xy = 0;
    double m_yy = 0;
};

} // namespace Peridot::Jobs
