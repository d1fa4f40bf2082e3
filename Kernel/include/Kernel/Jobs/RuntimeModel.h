#pragma once

#include <LibBase/Time.h>

namespace Peridot::Jobs {

/// Learns the runtimes of the tasks of one queue. Declared runtimes are far off, so that the
/// measured ones are regressed on them, both as logarithms: where the estimates say nothing, the
/// prediction is the typical runtime of the queue. Old tasks count less and less.
class RuntimeModel
{
public:
    void learn(Duration estimate, Duration measured);
    /// Expected runtime of a task with this estimate; the estimate itself before enough tasks
    /// ended.
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
