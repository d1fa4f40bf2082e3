#include <LibStore/StorePacer.h>

#include <algorithm>

namespace Peridot {

StorePacer::StorePacer(const StorePacerSettings &settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed),
      m_writes(settings.writesPerSecond, burstOf(settings.writesPerSecond)),
      m_reads(settings.readsPerSecond, burstOf(settings.readsPerSecond)),
      m_backoff(settings.backoff)
{
}

void StorePacer::setProcesses(TimePoint now, std::size_t processes)
{
    const auto count = static_cast<double>(std::max<std::size_t>(processes, 1));
    const double writes = m_settings.writesPerSecond / count;
    const double reads = m_settings.readsPerSecond / count;
    m_writes.setRate(now, writes, burstOf(writes));
    m_reads.setRate(now, reads, burstOf(reads));
}

bool StorePacer::tryWrite(TimePoint now, std::size_t rows)
{
    return pause(now) == Duration(0) && m_writes.tryTake(now, tokens(rows));
}

bool StorePacer::tryRead(TimePoint now, std::size_t rows)
{
    return pause(now) == Duration(0) && m_reads.tryTake(now, tokens(rows));
}

Duration StorePacer::timeUntilWrite(TimePoint now, std::size_t rows)
{
    return std::max(pause(now), m_writes.timeUntil(now, tokens(rows)));
}

Duration StorePacer::timeUntilRead(TimePoint now, std::size_t rows)
{
    return std::max(pause(now), m_reads.timeUntil(now, tokens(rows)));
}

void StorePacer::succeeded()
{
    m_backoff.reset();
    m_pausedUntil = TimePoint{};
}

void StorePacer::failed(TimePoint now)
{
    // Calls that fail together count as one failure, so that a batch does not lengthen the delay.
    if (pause(now) > Duration(0))
        return;
    m_pausedUntil = now + m_backoff.next(m_random);
}

double StorePacer::tokens(std::size_t rows) const
{
    return static_cast<double>(
        std::max<std::size_t>(1, (rows + rowsPerStoreCall - 1) / rowsPerStoreCall));
}

double StorePacer::burstOf(double rate) const
{
    return std::max(1.0, rate * toSeconds(m_settings.burst));
}

Duration StorePacer::pause(TimePoint now) const
{
    const Duration remaining = m_pausedUntil - now;
    // A longer rest than any backoff means that the clock was set back.
    if (remaining > m_settings.backoff.limit)
        return Duration(0);
    return std::max(remaining, Duration(0));
}

} // namespace Peridot
