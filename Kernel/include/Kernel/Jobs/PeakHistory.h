#pragma once

#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Peridot::Jobs {

/// What is learned about the peaks of the pools. It is stored, so that a successor knows it.
struct PeakHistory
{
    /// Peaks of one pool.
    struct Pool
    {
        double mean = 0; ///< of the load, in hosts
        double height = 0; ///< load during the latest peak, in hosts; 0: there was none
        std::optional<TimePoint> begin; ///< of the latest peak
        bool inPeak = false;
        std::string next; ///< pool that had the next peak after the latest one; empty: not known
        Duration lag{0}; ///< between the begin of a peak of this pool and that of the next one
        bool isDoubted = false; ///< next or lag was wrong, and was not seen twice since

        bool operator==(const Pool &) const = default;
    };

    std::map<std::string, Pool> pools;
    std::string latest; ///< pool with the latest begin of a peak; empty: there was none
    bool followed = false; ///< two pools had a peak one after the other
    bool guessFailed = false; ///< a peak that was not seen yet was expected and did not come

    bool operator==(const PeakHistory &) const = default;
};

/// Key of the row.
constexpr std::string_view peakHistoryKey = "scheduler/peaks";

/// Times are stored on the clock of the store, in milliseconds.
std::string encodePeakHistory(const PeakHistory &history,
                              const std::function<std::int64_t(TimePoint)> &toStoreTime);
Result<PeakHistory> parsePeakHistory(std::string_view text,
                                     const std::function<TimePoint(std::int64_t)> &fromStoreTime);

} // namespace Peridot::Jobs
