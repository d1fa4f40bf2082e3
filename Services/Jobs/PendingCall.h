#pragma once

#include "JobFrontend.h"
#include <Kernel/Jobs/Authorization.h>
#include <algorithm>

namespace Peridot::Jobs {

struct JobFrontend::PendingCall
{
    JobCall call;
    Callback callback;
    TimePoint arrivedAt;
    Caller caller;
    std::shared_ptr<const JobConfiguration> configuration; ///< by which the caller was found
    bool writeMayBeApplied = false; ///< a write is unanswered, or its outcome is unknown
    bool answered = false;
    unsigned retries = 0;
    std::unique_ptr<asio::steady_timer> retryTimer;
    std::unique_ptr<asio::steady_timer> timeoutTimer; ///< fails the call when it expires
};

inline bool isPresent(const Row &row)
{
    return row.version != absentVersion;
}

/// Whether the check of the row with this key failed.
inline bool hasConflict(const CommitResult &result, const std::string &key)
{
    const auto &keys = result.conflicts;
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

} // namespace Peridot::Jobs
