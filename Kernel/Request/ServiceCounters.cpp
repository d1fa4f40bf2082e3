#include <Kernel/Request/ServiceCounters.h>

#include <string>

namespace Peridot {

Json::Value ServiceCounters::toJson() const
{
    Json::Value object(Json::objectValue);
    object["arrived"] = Json::UInt64(arrived);
    object["answered"] = Json::UInt64(answered);
    object["answered_from_record"] = Json::UInt64(answeredFromRecord);
    object["attempts"] = Json::UInt64(attempts);
    object["retries"] = Json::UInt64(retries);
    object["retries_denied"] = Json::UInt64(retriesDenied);
    object["cancelled"] = Json::UInt64(cancelled);
    Json::Value &reasons = object["refused"] = Json::Value(Json::objectValue);
    for (const auto &[reason, name] : refusalReasonNames.entries) {
        const auto count = refused[static_cast<std::size_t>(reason)];
        if (count > 0)
            reasons[std::string(name)] = Json::UInt64(count);
    }
    Json::Value &byOutcome = object["outcomes"] = Json::Value(Json::objectValue);
    for (const auto &[outcome, name] : outcomeNames.entries)
        byOutcome[std::string(name)] = Json::UInt64(outcomes[static_cast<std::size_t>(outcome)]);
    return object;
}

} // namespace Peridot
