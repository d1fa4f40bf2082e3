#pragma once

#include "LingeringClose.h"
#include "RefusalService.h"
#include <asio/bind_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <utility>

namespace Peridot {

/// TCP socket for RESTinio that answers refused input before it is closed. RESTinio closes the
/// connection without a word after malformed input, an exceeded limit or a read timeout; a caller
/// could not tell such an end from a crash.
class RefusingSocket : public asio::ip::tcp::socket
{
public:
    using Base = asio::ip::tcp::socket;
    using Base::Base;

    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler) // NOLINT(*-identifier-naming)
    {
        auto executor = asio::get_associated_executor(handler, get_executor());
        Base::async_read_some(
            buffers, asio::bind_executor(
                         executor, [this, inner = std::forward<Handler>(handler)](
                                       const asio::error_code &error, std::size_t length) mutable {
                             if (error)
                                 m_readFailed = true;
                             else
                                 m_unansweredBytes += length;
                             inner(error, length);
                         }));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT(*-identifier-naming)
    {
        m_unansweredBytes = 0;
        Base::async_write_some(buffers, std::forward<Handler>(handler));
    }

    asio::error_code shutdown(shutdown_type what, asio::error_code &error)
    {
        auto [errorLogged, refusal] = std::exchange(closingError, {});
        // RESTinio reports a read timeout only in its trace log; a close in the middle of a
        // request that was not caused by the peer or by the parser is one.
        if (!errorLogged && m_unansweredBytes > 0 && !m_readFailed)
            refusal = readTimeoutRefusal();
        if (refusal.empty() || !is_open())
            return Base::shutdown(what, error);
        cancel(error);
        LingeringClose::start(std::move(static_cast<Base &>(*this)), std::move(refusal));
        return error;
    }

private:
    std::string readTimeoutRefusal()
    {
        auto &context = asio::query(get_executor(), asio::execution::context);
        const auto &service = asio::use_service<RefusalService>(context);
        return service.format ? service.format(InputFault::ReadTimeout, {}) : std::string();
    }

    std::size_t m_unansweredBytes = 0;
    bool m_readFailed = false;
};

} // namespace Peridot
