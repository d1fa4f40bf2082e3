#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>

namespace Peridot {

struct BackoffSettings
{
    Duration base = std::chrono::milliseconds(20);
    Duration limit = std::chrono::seconds(2);
};

/// Decorrelated exponential backoff with jitter: each delay is uniform between the base and three
/// times the previous delay, up to the limit (M. Brooker, "Exponential Backoff And Jitter").
class Backoff
{
public:
    explicit Backoff(const BackoffSettings &settings = {})
        : m_settings(settings), m_previous(settings.base)
    {
    }

    Duration next(RandomSource &random);
    /// Restarts from the base delay after a success.
    void reset() { m_previous = m_settings.base; }

private:
    BackoffSettings m_settings;
    Duration m_previous;
};

} // namespace Peridot
