#include <LibStore/Backoff.h>

#include <algorithm>

namespace Peridot {

Duration Backoff::next(RandomSource &random)
{
    constexpr int growth = 3;
    const Duration span = std::max(m_previous * growth - m_settings.base, Duration(0));
    const Duration jitter(
        static_cast<Duration::rep>(static_cast<double>(span.count()) * random.unit()));
    m_previous = std::min(m_settings.base + jitter, m_settings.limit);
    return m_previous;
}

} // namespace Peridot
