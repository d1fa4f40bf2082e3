#include <Kernel/Jobs/RuntimeModel.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// Factor by which each new sample reduces the weight of the older ones. The effective window is
// about the last 200 tasks.
constexpr double decay = 0.995;
// Sum of the sample weights from which the model is used.
constexpr double minimumWeight = 10;
// Shorter durations are treated as this one, because the logarithm of 0 is undefined.
constexpr double minimumSeconds = 0.01;

double logSeconds(Duration duration)
{
    return std::log(std::max(toSeconds(duration), minimumSeconds));
}

} // namespace

void RuntimeModel::addSample(Duration estimate, Duration measured)
{
    const double x = logSeconds(estimate);
    const double y = logSeconds(measured);
    const auto add = [](double &sum, double value) {
        sum = sum * decay + value;
    };
    add(m_weight, 1);
    add(m_x, x);
    add(m_y, y);
    add(m_xx, x * x);
    add(m_xy, x * y);
    add(m_yy, y * y);
}

Duration RuntimeModel::predict(Duration estimate) const
{
    if (m_weight < minimumWeight)
        return estimate;
    const double meanX = m_x / m_weight;
    const double meanY = m_y / m_weight;
    const double varianceX = m_xx / m_weight - meanX * meanX;
    const double varianceY = m_yy / m_weight - meanY * meanY;
    const double covariance = m_xy / m_weight - meanX * meanY;
    const double slope = varianceX > 1e-6 ? std::clamp(covariance / varianceX, 0.0, 1.0) : 0;
    const double residual = std::max(varianceY - slope * covariance, 0.0);
    // The mean of a log-normal variable is the exponential of the mean logarithm plus half of the
    // variance of the logarithm.
    const double seconds = std::exp(meanY + slope * (logSeconds(estimate) - meanX) + residual / 2);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Peridot::Jobs
