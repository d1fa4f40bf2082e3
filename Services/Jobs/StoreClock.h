#pragma once

#include <LibBase/Time.h>
#include <cstdint>

namespace Peridot::Jobs {

/// Estimates the time on the clock of the store from the times in its answers. An answer may wait
/// before it is handled, so that the estimate may be behind, but is never ahead.
class StoreClock
{
public:
    /// An answer that tells \a milliseconds is handled at \a now. 0: it does not tell the time.
    void update(std::int64_t milliseconds, TimePoint now);
    /// Time of the store in milliseconds at the local time \a time; 0: not known.
    std::int64_t at(TimePoint time) const;

private:
    std::int64_t m_milliseconds = 0; ///< in the answer that was handled with the least delay
    TimePoint m_handledAt;
};

} // namespace Peridot::Jobs
