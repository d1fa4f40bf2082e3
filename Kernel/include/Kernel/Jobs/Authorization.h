#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <optional>
#include <string>
#include <string_view>

namespace Peridot::Jobs {

/// Organisation on whose behalf a call is made.
struct Caller
{
    std::string organisation; ///< empty: none

    bool operator==(const Caller &) const = default;
};

/// Decides by the keys of \a configuration whether a call to \a queue may be made with \a key
/// (empty: the call has none). Returns nothing when it may not.
std::optional<Caller> authorize(const JobConfiguration &configuration, const QueueSettings &queue,
                                std::string_view key);

/// Whether \a caller may query or cancel a job that \a organisation submitted. Jobs of no
/// organisation are open to all callers of their queue.
bool mayAccess(const Caller &caller, std::string_view organisation);

} // namespace Peridot::Jobs
