#pragma once

#include "BackendState.h"
#include <LibBase/Error.h>
#include <LibHttp/HttpServer.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace Peridot {

/// The stand-in: listener, control server and threads.
class BackendServer
{
public:
    /// Errors: InvalidValue (address), ConnectionFailed (port in use).
    static Result<std::unique_ptr<BackendServer>> start(const BackendSettings &settings);
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::uint16_t controlPort() const { return m_control->port(); }
    BackendState &state() { return *m_state; }

private:
    explicit BackendServer(const BackendSettings &settings);

    Result<void> open();
    void acceptNext();

    std::shared_ptr<BackendState> m_state;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::unique_ptr<HttpServer> m_control;
    std::vector<std::thread> m_threads;
};

} // namespace Peridot
