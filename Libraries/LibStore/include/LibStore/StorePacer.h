#pragma once

#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibStore/Backoff.h>
#include <LibStore/TokenBucket.h>
#include <cstddef>
#include <cstdint>

namespace Peridot {

struct StorePacerSettings
{
    double writesPerSecond = 300; ///< limit of the store over all processes
    double readsPerSecond = 2000; ///< limit of the store over all processes
    Duration burst = std::chrono::milliseconds(100); ///< time in which an empty bucket is refilled
    BackoffSettings backoff;
};

/// Fractions of the limits of the store. Most writes are reserved for claims of requests;
/// membership, configuration and fleet planning share the rest, so that neither side can starve the
/// other.
constexpr double claimWriteFraction = 0.6;
constexpr double claimReadFraction = 0.5;

/// Limits for the claims of all entry processes together.
inline StorePacerSettings claimPacing(StorePacerSettings limits)
{
    limits.writesPerSecond *= claimWriteFraction;
    limits.readsPerSecond *= claimReadFraction;
    return limits;
}

/// Limits for membership, configuration and fleet planning of all processes together.
inline StorePacerSettings controlPacing(StorePacerSettings limits)
{
    limits.writesPerSecond *= 1 - claimWriteFraction;
    limits.readsPerSecond *= 1 - claimReadFraction;
    return limits;
}

/// Keeps the calls of one process within its share of the limits of the store. First attempts and
/// retries take from the same buckets, so that retries never raise the load. Single-threaded; the
/// time is passed in.
class StorePacer
{
public:
    StorePacer(const StorePacerSettings &settings, std::uint64_t seed);

    /// Divides the limits evenly over this many processes, at least 1.
    void setProcesses(TimePoint now, std::size_t processes);

    /// Takes the tokens of a call and returns true, unless there are too few or a backoff is in
    /// progress. \a rows is the number of rows of the call: each 100 rows cost one token.
    bool tryWrite(TimePoint now, std::size_t rows = 1);
    bool tryRead(TimePoint now, std::size_t rows = 1);
    Duration timeUntilWrite(TimePoint now, std::size_t rows = 1);
    Duration timeUntilRead(TimePoint now, std::size_t rows = 1);

    /// Reports the result of a call. A failed call delays all further calls of this process, and a
    /// successful one ends the delay.
    void succeeded();
    void failed(TimePoint now);

    /// End of the current backoff, or a time in the past.
    TimePoint pausedUntil() const { return m_pausedUntil; }
    RandomSource &random() { return m_random; }

private:
    double tokens(std::size_t rows) const;
    double burstOf(double rate) const;
    Duration pause(TimePoint now) const;

    StorePacerSettings m_settings;
    RandomSource m_random;
    TokenBucket m_writes;
    TokenBucket m_reads;
    Backoff m_backoff;
    TimePoint m_pausedUntil{};
};

/// Rows that the store counts as one read or write.
constexpr std::size_t rowsPerStoreCall = 100;

} // namespace Peridot
