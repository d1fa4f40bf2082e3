#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace Peridot {

/// Table of the enumerators of one enumeration and their names in messages, settings and logs.
template <typename Enum, std::size_t Count>
struct EnumTable
{
    std::array<std::pair<Enum, std::string_view>, Count> entries;

    /// Name of \a value, or "invalid" when the table does not list it.
    constexpr std::string_view nameOf(Enum value) const
    {
        for (const auto &[entry, name] : entries) {
            if (entry == value)
                return name;
        }
        return "invalid";
    }

    /// Enumerator called \a name, or nothing when there is none.
    constexpr std::optional<Enum> valueOf(std::string_view name) const
    {
        for (const auto &[entry, entryName] : entries) {
            if (entryName == name)
                return entry;
        }
        return std::nullopt;
    }
};

template <typename Enum, std::size_t Count>
constexpr EnumTable<Enum, Count>
makeEnumTable(const std::pair<Enum, std::string_view> (&entries)[Count])
{
    EnumTable<Enum, Count> table{};
    for (std::size_t index = 0; index < Count; ++index)
        table.entries[index] = entries[index];
    return table;
}

} // namespace Peridot
