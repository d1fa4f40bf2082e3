#pragma once

#include <LibBase/Time.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace Peridot {

/// Limits on the retries of a service. The fraction is the smallest with which no idempotent
/// request fails while 5% of all attempts fail (`measure retries`).
struct RetryBudgetSettings
{
    double fraction = 0.1; ///< number of retries allowed for each request
    double perSecond = 10; ///< additional retries per second, in each entry process
};

/// Limits the retries of one service to a fraction of its requests plus a constant rate, both over
/// a sliding window (Finagle user guide, "Retries"), so that an outage does not multiply the load.
class RetryBudget
{
public:
    static constexpr std::size_t windowSeconds = 10;

    explicit RetryBudget(RetryBudgetSettings settings = {}) : m_settings(settings) { }

    void requestArrived(TimePoint now);
    /// Takes one retry from the budget. Returns false when the budget is exhausted.
    bool withdraw(TimePoint now);
    /// Number of retries that the budget currently allows.
    double balance(TimePoint now);

private:
    struct Bucket
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    void advance(TimePoint now);
    Bucket &bucket() { return m_buckets[static_cast<std::size_t>(m_second) % windowSeconds]; }

    RetryBudgetSettings m_settings;
    std::array<Bucket, windowSeconds> m_buckets;
    std::int64_t m_second = -1; ///< latest second in the window, since the Unix epoch
    std::uint64_t m_requests = 0; ///< sum over the window
    std::uint64_t m_retries = 0; ///< sum over the window
    std::int64_t m_firstSecond = -1; ///< second of the first event
};

} // namespace Peridot
