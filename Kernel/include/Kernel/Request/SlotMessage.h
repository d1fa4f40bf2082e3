#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Peridot {

/// Message between entry processes about the slots of backend servers.
struct SlotMessage
{
    enum class Type {
        State, ///< slots of the receiver that the sender holds, and slots that it requests
        Grant, ///< reply to State: slots on which the receiver may start attempts
        Recall, ///< asks the receiver to send its State soon; grants nothing
        Gone, ///< the sender has no attempt in flight and will not start any
    };

    Type type = Type::State;
    std::uint64_t epoch = 0; ///< epoch of the membership view to which the slots refer
    std::uint64_t number = 0; ///< State: increases with each State. Grant: number of the State
    std::map<std::string, std::vector<unsigned>> slots; ///< slot numbers by backend server
    std::map<std::string, unsigned> wanted; ///< State: number of requested slots by service
    Duration window{0}; ///< Grant: attempts may start for this long after the State was sent
    unsigned idle = 0; ///< Grant: number of idle slots that remain at the sender
};

constexpr auto slotMessageTypeNames = makeEnumTable<SlotMessage::Type>({
    {SlotMessage::Type::State, "state"},
    {SlotMessage::Type::Grant, "grant"},
    {SlotMessage::Type::Recall, "recall"},
    {SlotMessage::Type::Gone, "gone"},
});

std::string encodeSlotMessage(const SlotMessage &message);

/// Errors: InvalidJson; ProtocolViolation with the name of the invalid member in the field.
Result<SlotMessage> decodeSlotMessage(const std::string &text);

} // namespace Peridot
