#pragma once

#include <LibHttp/HttpServer.h>
#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <string>

namespace Peridot {

/// Gives the sockets of one server access to the text of its refusals. RESTinio constructs the
/// sockets with nothing but the io_context.
class RefusalService : public asio::execution_context::service
{
public:
    using key_type = RefusalService;
    inline static asio::execution_context::id id;

    explicit RefusalService(asio::execution_context &context)
        : asio::execution_context::service(context)
    {
    }

    void shutdown() override { }

    std::function<std::string(InputFault, const std::string &detail)> format;
    /// Null: the server has no budget. Set before the server starts, like serverId.
    std::shared_ptr<InputBudget> budget;
    InputBudget::ServerId serverId = 0; ///< in the budget
};

/// What the connection that is being closed on this thread still owes its caller. RESTinio logs an
/// error and closes the socket in the same call, without an answer of its own.
struct ClosingError
{
    bool logged = false; ///< the connection closes because of an error, not of a timeout
    std::string refusal; ///< empty: close without a response
};

inline thread_local ClosingError closingError;

} // namespace Peridot
