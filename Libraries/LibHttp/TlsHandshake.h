#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace Peridot {

using TlsStream = asio::ssl::stream<asio::ip::tcp::socket &>;

/// Handshake of one accepted connection, limited in time. Its handlers run on a strand, because
/// the end of the handshake and of the time may come on two threads of the server.
class TlsHandshake : public std::enable_shared_from_this<TlsHandshake>
{
public:
    using Callback = std::function<void(const asio::error_code &)>;

    /// \a stream must exist until \a callback was called.
    static void start(TlsStream &stream, std::chrono::milliseconds limit, Callback callback)
    {
        const auto handshake = std::make_shared<TlsHandshake>(stream, std::move(callback));
        asio::dispatch(handshake->m_strand, [handshake, limit] { handshake->run(limit); });
    }

    TlsHandshake(TlsStream &stream, Callback callback)
        : m_stream(stream), m_strand(stream.get_executor()), m_timer(m_strand),
          m_callback(std::move(callback))
    {
    }

private:
    void run(std::chrono::milliseconds limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            asio::error_code ignored;
            if (!error && self->m_callback)
                self->m_stream.next_layer().cancel(ignored);
        });
        auto whenDone = [self = shared_from_this()](const asio::error_code &error) {
            self->m_timer.cancel();
            std::exchange(self->m_callback, nullptr)(error);
        };
        m_stream.async_handshake(asio::ssl::stream_base::server,
                                 asio::bind_executor(m_strand, std::move(whenDone)));
    }

    TlsStream &m_stream;
    asio::strand<asio::any_io_executor> m_strand;
    asio::steady_timer m_timer;
    Callback m_callback; ///< empty once the handshake ended
};

} // namespace Peridot
