#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Peridot {

/// The parts of "address:port". The address is not checked.
struct AddressText
{
    std::string address;
    std::uint16_t port = 0;

    /// Returns nothing when the port is missing or invalid.
    static std::optional<AddressText> split(const std::string &text);
};

} // namespace Peridot
