#pragma once

#include "TlsContext.h"
#include <asio/execution_context.hpp>
#include <chrono>
#include <mutex>

namespace Peridot {

/// Gives the sockets of one server access to its certificate. RESTinio constructs the sockets with
/// nothing but the io_context.
class TlsService : public asio::execution_context::service
{
public:
    using key_type = TlsService;
    inline static asio::execution_context::id id;

    explicit TlsService(asio::execution_context &context)
        : asio::execution_context::service(context)
    {
    }

    void shutdown() override { }

    /// Nothing: the server speaks plain HTTP.
    TlsContext context() const
    {
        const std::lock_guard lock(m_mutex);
        return m_context;
    }

    /// Connections that were accepted before keep the former certificate.
    void setContext(TlsContext context)
    {
        const std::lock_guard lock(m_mutex);
        m_context = std::move(context);
    }

    /// RESTinio guards only the time after the handshake. Set before the server starts.
    std::chrono::milliseconds handshakeLimit{10000};

private:
    mutable std::mutex m_mutex;
    TlsContext m_context;
};

} // namespace Peridot
