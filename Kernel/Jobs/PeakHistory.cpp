#include <Kernel/Jobs/PeakHistory.h>

#include <LibBase/Json.h>

namespace Peridot::Jobs {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

Result<PeakHistory::Pool> parsePool(const Json::Value &object,
                                    const std::function<TimePoint(std::int64_t)> &fromStoreTime)
{
    const bool isValid = object.isObject() && object["mean"].isNumeric()
                         && object["height"].isNumeric() && object["in_peak"].isBool()
                         && object["next"].isString() && object["lag_ms"].isInt64()
                         && object["doubted"].isBool();
    if (!isValid)
        return makeError(ErrorCode::ProtocolViolation, "peaks of a pool");
    PeakHistory::Pool pool;
    pool.mean = object["mean"].asDouble();
    pool.height = object["height"].asDouble();
    pool.next = object["next"].asString();
    pool.lag = milliseconds(object["lag_ms"].asInt64());
    pool.isDoubted = object["doubted"].asBool();
    if (object["begin_store_ms"].isInt64()) {
        pool.begin = fromStoreTime(object["begin_store_ms"].asInt64());
        pool.inPeak = object["in_peak"].asBool();
    }
    return pool;
}

} // namespace

std::string encodePeakHistory(const PeakHistory &history,
                              const std::function<std::int64_t(TimePoint)> &toStoreTime)
{
    Json::Value pools(Json::objectValue);
    for (const auto &[name, pool] : history.pools) {
        Json::Value &object = pools[name];
        object["mean"] = pool.mean;
        object["height"] = pool.height;
        object["in_peak"] = pool.inPeak;
        object["next"] = pool.next;
        object["lag_ms"] = static_cast<Json::Int64>(duration_cast<milliseconds>(pool.lag).count());
        object["doubted"] = pool.isDoubted;
        if (pool.begin)
            object["begin_store_ms"] = static_cast<Json::Int64>(toStoreTime(*pool.begin));
    }
    Json::Value object(Json::objectValue);
    object["pools"] = std::move(pools);
    object["latest"] = history.latest;
    object["followed"] = history.followed;
    object["guess_failed"] = history.guessFailed;
    return writeJson(object);
}

Result<PeakHistory> parsePeakHistory(std::string_view text,
                                     const std::function<TimePoint(std::int64_t)> &fromStoreTime)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    const bool isValid = object.isObject() && object["pools"].isObject()
                         && object["latest"].isString() && object["followed"].isBool()
                         && object["guess_failed"].isBool();
    if (!isValid)
        return makeError(ErrorCode::ProtocolViolation, "peaks");
    PeakHistory history;
    for (const auto &name : object["pools"].getMemberNames()) {
        BOOST_LEAF_AUTO(pool, parsePool(object["pools"][name], fromStoreTime));
        history.pools[name] = std::move(pool);
    }
    history.latest = object["latest"].asString();
    history.followed = object["followed"].asBool();
    history.guessFailed = object["guess_failed"].asBool();
    return history;
}

} // namespace Peridot::Jobs
