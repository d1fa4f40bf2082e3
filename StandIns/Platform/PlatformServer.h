#pragma once

#include "Platform.h"
#include <LibBase/Error.h>
#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Peridot {

/// HTTP server of the platform stand-in on an Asio context. All calls and handlers belong to the
/// one thread that runs the context.
class PlatformServer
{
public:
    PlatformServer(asio::io_context &context, Platform &platform);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /// Listens and returns the port, which the system chooses when \a port is 0. To be called
    /// before the context runs. Errors: ConnectionFailed with the address.
    Result<std::uint16_t> open(const std::string &address, std::uint16_t port);
    void close();

private:
    class Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Peridot
