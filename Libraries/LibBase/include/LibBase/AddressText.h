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

    /// Nothing when the port is missing or no port number.
    static std::optional<AddressText> split(const std::string &text);
};

} // namespace Peridot
