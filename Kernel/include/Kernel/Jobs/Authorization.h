#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <memory>
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

/// The configuration after \a current (null: none) when \a next is read. An empty list of
/// organisations stands for a deployment without any, but not when there were organisations before:
/// then nobody is left who may call.
std::shared_ptr<const JobConfiguration>
succeedingConfiguration(const std::shared_ptr<const JobConfiguration> &current,
                        const std::shared_ptr<const JobConfiguration> &next);

} // namespace Peridot::Jobs
