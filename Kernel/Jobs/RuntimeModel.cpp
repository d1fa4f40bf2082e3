#include <Kernel/Jobs/RuntimeModel.h>

#include <algorithm>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// About the last two hundred tasks count.
constexpr double decay = 0.995;
constexpr double leastWeight = 10;
constexpr double shortestSeconds = 0.01;

double logSeconds(Duration duration)
{
    return std::log(std::max(toSeconds(duration), shortestSeconds));
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
    if (m_weight < leastWeight)
        return estimate;
    const double meanX = m_x / m_weight;
    const double meanY = m_y / m_weight;
    const double varianceX = m_xx / m_weight - meanX * meanX;
    const double varianceY = m_yy / m_weight - meanY * meanY;
    const double covariance = m_xy / m_weight - meanX * meanY;
    const double slope = varianceX > 1e-6 ? std::clamp(covariance / varianceX, 0.0, 1.0) : 0;
    const double residual = std::max(varianceY - slope * covariance, 0.0);
    // The mean of a log-normal variable lies above the exponential of the mean logarithm.
    const double seconds = std::exp(meanY + slope * (logSeconds(estimate) - meanX) + residual / 2);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Peridot::Jobs
