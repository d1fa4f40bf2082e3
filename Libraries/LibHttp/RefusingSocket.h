#pragma once

#include "BudgetEntry.h"
#include "LingeringClose.h"
#include "RefusalService.h"
#include "TlsHandshake.h"
#include "TlsService.h"
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <utility>

namespace Peridot {

/// TCP socket for RESTinio that answers refused input before it is closed. RESTinio closes the
/// connection without a word after malformed input, an exceeded limit or a read timeout; a caller
/// could not tell such an end from a crash. When the server has a certificate, the connection
/// speaks TLS after startTls().
class RefusingSocket : public asio::ip::tcp::socket
{
public:
    using Base = asio::ip::tcp::socket;
    using Base::Base;

    /// The socket must not be moved afterwards.
    void startTls(TlsContext context, std::chrono::milliseconds limit,
                  TlsHandshake::Callback callback)
    {
        m_tlsContext = std::move(context);
        m_tls = std::make_unique<TlsStream>(static_cast<Base &>(*this), *m_tlsContext);
        TlsHandshake::start(*m_tls, limit, std::move(callback));
    }

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT(*-identifier-naming)
    {
        auto executor = asio::get_associated_executor(handler, get_executor());
        auto whenRead = asio::bind_executor(
            executor, [this, inner = std::forward<Handler>(handler)](const asio::error_code &error,
                                                                     std::size_t length) mutable {
                if (error)
                    m_readFailed = true;
                else
                    countInput(length);
                inner(error, length);
            });
        if (m_tls)
            m_tls->async_read_some(buffers, std::move(whenRead));
        else
            Base::async_read_some(buffers, std::move(whenRead));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(*-identifier-naming)
    {
        m_unansweredBytes = 0;
        m_hasWritten = true;
        if (m_tls)
            m_tls->async_write_some(buffers, std::forward<Handler>(handler));
        else
            Base::async_write_some(buffers, std::forward<Handler>(handler));
    }

    asio::error_code shutdown(shutdown_type what, asio::error_code &error)
    {
        auto [errorLogged, refusal] = std::exchange(closingError, {});
        // RESTinio reports a read timeout only in its trace log; a close in the middle of a
        // request that was not caused by the peer or by the parser is one.
        if (!errorLogged && m_unansweredBytes > 0 && !m_readFailed)
            refusal = refusalOf(InputFault::ReadTimeout);
        // A response on a connection that had one before would be taken for that of a request which
        // is still on its way.
        const bool closedByBudget = m_budgetEntry && m_budgetEntry->leave();
        if (closedByBudget && (m_unansweredBytes > 0 || !m_hasWritten))
            refusal = refusalOf(InputFault::ConnectionEnded);
        if (refusal.empty() || !is_open())
            return Base::shutdown(what, error);
        cancel(error);
        if (m_tls)
            encryptAndSend(std::exchange(refusal, {}));
        LingeringClose::start(std::move(static_cast<Base &>(*this)), std::move(refusal),
                              m_budgetEntry ? m_budgetEntry->budget() : nullptr);
        return error;
    }

    /// Counts this connection in the budget of the server, if it has one, until shutdown().
    void joinBudget(std::uint64_t connection)
    {
        const auto &service = refusalService();
        if (service.budget)
            m_budgetEntry = std::make_unique<BudgetEntry>(service.budget, service.serverId,
                                                          connection, native_handle());
    }

private:
    /// The stream ends with this socket, so that the lingering close cannot send the refusal. One
    /// for which the send buffer has no room is dropped.
    void encryptAndSend(const std::string &refusal)
    {
        asio::error_code error;
        non_blocking(true, error);
        m_tls->write_some(asio::buffer(refusal), error);
    }

    void countInput(std::size_t bytes)
    {
        m_unansweredBytes += bytes;
        if (m_budgetEntry)
            m_budgetEntry->inputReceived(bytes);
    }

    RefusalService &refusalService()
    {
        return asio::use_service<RefusalService>(
            asio::query(get_executor(), asio::execution::context));
    }

    std::string refusalOf(InputFault fault)
    {
        const auto &service = refusalService();
        return service.format ? service.format(fault, {}) : std::string();
    }

    std::size_t m_unansweredBytes = 0;
    bool m_readFailed = false;
    bool m_hasWritten = false;
    TlsContext m_tlsContext;
    std::unique_ptr<TlsStream> m_tls;
    std::unique_ptr<BudgetEntry> m_budgetEntry; ///< null: no budget
};

/// Called by RESTinio, which finds it by the type of the socket, before it reads from a connection.
template <typename Connection, typename StartRead, typename Fail>
void prepare_connection_and_start_read( // NOLINT(readability-identifier-naming)
    RefusingSocket &socket, Connection &connection, StartRead startRead, Fail fail)
{
    socket.joinBudget(connection.connection_id());
    auto &execution = asio::query(socket.get_executor(), asio::execution::context);
    auto &service = asio::use_service<TlsService>(execution);
    auto context = service.context();
    if (!context) {
        startRead();
        return;
    }
    socket.startTls(std::move(context), service.handshakeLimit,
                    [keep = connection.shared_from_this(), startRead,
                     fail](const asio::error_code &error) mutable {
                        if (error)
                            fail(error);
                        else
                            startRead();
                    });
}

} // namespace Peridot
