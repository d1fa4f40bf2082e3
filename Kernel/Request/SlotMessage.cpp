#include "MessageJson.h"

#include <Kernel/Request/SlotMessage.h>
#include <LibBase/Json.h>

namespace Peridot {

namespace {

// Upper bounds of valid values. Messages with larger values are rejected.
constexpr unsigned slotNumberLimit = 65535;
constexpr unsigned wantedLimit = 1000000;
constexpr std::int64_t windowLimitMilliseconds = 60000;

Result<std::uint64_t> readNumber(const Json::Value &object, const char *name, std::uint64_t limit)
{
    const Json::Value &value = object[name];
    if (!value.isUInt64() || value.asUInt64() > limit)
        return makeError(ErrorCode::ProtocolViolation, name);
    return value.asUInt64();
}

Result<void> readSlots(const Json::Value &object, SlotMessage &message)
{
    const Json::Value &value = object["slots"];
    if (!value.isObject())
        return makeError(ErrorCode::ProtocolViolation, "slots");
    for (auto entry = value.begin(); entry != value.end(); ++entry) {
        if (!entry->isArray())
            return makeError(ErrorCode::ProtocolViolation, "slots");
        auto &numbers = message.slots[entry.name()];
        for (const Json::Value &number : *entry) {
            if (!number.isUInt() || number.asUInt() > slotNumberLimit)
                return makeError(ErrorCode::ProtocolViolation, "slots");
            numbers.push_back(number.asUInt());
        }
    }
    return {};
}

Result<void> readWanted(const Json::Value &object, SlotMessage &message)
{
    const Json::Value &value = object["wanted"];
    if (!value.isObject())
        return makeError(ErrorCode::ProtocolViolation, "wanted");
    for (auto entry = value.begin(); entry != value.end(); ++entry) {
        if (!entry->isUInt() || entry->asUInt() > wantedLimit)
            return makeError(ErrorCode::ProtocolViolation, "wanted");
        message.wanted[entry.name()] = entry->asUInt();
    }
    return {};
}

} // namespace

std::string encodeSlotMessage(const SlotMessage &message)
{
    Json::Value object(Json::objectValue);
    object["type"] = std::string(slotMessageTypeNames.nameOf(message.type));
    object["epoch"] = Json::UInt64(message.epoch);
    object["number"] = Json::UInt64(message.number);
    Json::Value slots(Json::objectValue);
    for (const auto &[server, numbers] : message.slots) {
        Json::Value list(Json::arrayValue);
        for (const unsigned number : numbers)
            list.append(number);
        slots[server] = std::move(list);
    }
    object["slots"] = std::move(slots);
    Json::Value wanted(Json::objectValue);
    for (const auto &[service, count] : message.wanted)
        wanted[service] = count;
    object["wanted"] = std::move(wanted);
    object["window_ms"] = Json::UInt64(
        std::chrono::duration_cast<std::chrono::milliseconds>(message.window).count());
    object["idle"] = message.idle;
    return writeJson(object);
}

Result<SlotMessage> decodeSlotMessage(const std::string &text)
{
    BOOST_LEAF_AUTO(object, parseMessage(text));
    if (!object.isObject() || !object["type"].isString())
        return makeError(ErrorCode::ProtocolViolation, "type");
    const auto type = slotMessageTypeNames.valueOf(object["type"].asString());
    if (!type)
        return makeError(ErrorCode::ProtocolViolation, "type");
    SlotMessage message;
    message.type = *type;
    BOOST_LEAF_ASSIGN(message.epoch, readNumber(object, "epoch", UINT64_MAX));
    BOOST_LEAF_ASSIGN(message.number, readNumber(object, "number", UINT64_MAX));
    BOOST_LEAF_CHECK(readSlots(object, message));
    BOOST_LEAF_CHECK(readWanted(object, message));
    BOOST_LEAF_AUTO(window, readNumber(object, "window_ms", windowLimitMilliseconds));
    message.window = std::chrono::milliseconds(window);
    BOOST_LEAF_AUTO(idle, readNumber(object, "idle", wantedLimit));
    message.idle = static_cast<unsigned>(idle);
    return message;
}

} // namespace Peridot
