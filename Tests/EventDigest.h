#pragma once

#include <cstdint>
#include <string_view>

/// 64-bit FNV-1a hash of the events of one schedule, each followed by a line feed. Tests compare it
/// with a recorded value to check that a seed gives the same schedule on every machine. Events must
/// consist of names and integers only, because the text of a floating-point number may differ
/// between machines.
class EventDigest
{
public:
    void add(std::string_view event)
    {
        for (const char character : event)
            addByte(static_cast<unsigned char>(character));
        addByte('\n');
    }

    std::uint64_t value() const { return m_value; }

private:
    void addByte(unsigned char byte)
    {
        m_value ^= byte;
        m_value *= 0x100000001b3;
    }

    std::uint64_t m_value = 0xcbf29ce484222325;
};
