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
        State, ///< what the sender still holds of the receiver's slots, and what it wants
        Grant, ///< reply to State: the slots the receiver may start attempts on
        Recall, ///< asks the receiver to send its State soon; carries no right
        Gone, ///< the sender has no attempt in flight and starts none
    };

    Type type = Type::State;
    std::uint64_t epoch = 0; ///< epoch of the membership view that the slots refer to
    std::uint64_t number = 0; ///< State: increasing for each receiver. Grant: the State it answers
    std::map<std::string, std::vector<unsigned>> slots; ///< slot numbers by backend server
    std::map<std::string, unsigned> wanted; ///< State: slots wanted by service
    Duration window{0}; ///< Grant: time from the sending of the State in which attempts may start
    unsigned idle = 0; ///< Grant: idle slots that the sender still has
};

constexpr auto slotMessageTypeNames = makeEnumTable<SlotMessage::Type>({
    {SlotMessage::Type::State, "state"},
    {SlotMessage::Type::Grant, "grant"},
    {SlotMessage::Type::Recall, "recall"},
    {SlotMessage::Type::Gone, "gone"},
});

std::string encodeSlotMessage(const SlotMessage &message);

/// Errors: InvalidJson; ProtocolViolation with the name of the member at fault in the field.
Result<SlotMessage> decodeSlotMessage(const std::string &text);

} // namespace Peridot
