#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Peridot {

/// Writes JSON text from the beginning to the end, without a tree of values. For messages that are
/// sent thousands of times a second: a tree takes an allocation and a comparison of names for each
/// member. The text is that of writeJson() when the members of each object are written in the order
/// of their names.
class JsonWriter
{
public:
    JsonWriter &beginObject() { return begin('{'); }
    JsonWriter &endObject() { return end('}'); }
    JsonWriter &beginArray() { return begin('['); }
    JsonWriter &endArray() { return end(']'); }
    /// Writes the name of the next member. \a name must need no escapes.
    JsonWriter &name(std::string_view name);
    JsonWriter &value(std::string_view text);
    JsonWriter &value(const char *text) { return value(std::string_view(text)); }
    JsonWriter &value(std::int64_t number);
    JsonWriter &value(std::uint64_t number);
    JsonWriter &value(unsigned number) { return value(std::uint64_t{number}); }
    JsonWriter &value(bool truth);

    template <typename Value>
    JsonWriter &member(std::string_view memberName, const Value &memberValue)
    {
        return name(memberName).value(memberValue);
    }

    /// Reserves memory for a text of this size.
    void reserve(std::size_t bytes) { m_text.reserve(bytes); }
    std::string take() { return std::move(m_text); }

private:
    JsonWriter &begin(char bracket);
    JsonWriter &end(char bracket);
    void separate();

    std::string m_text;
    bool m_needsComma = false;
};

} // namespace Peridot
