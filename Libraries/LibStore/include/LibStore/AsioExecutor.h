#pragma once

#include <LibStore/HttpChannel.h>
#include <asio/any_io_executor.hpp>
#include <asio/post.hpp>
#include <utility>

namespace Peridot {

/// Runs callbacks on an Asio context, which must outlive the last callback.
inline CallbackExecutor asioExecutor(asio::any_io_executor executor)
{
    return [executor = std::move(executor)](std::function<void()> callback) {
        asio::post(executor, std::move(callback));
    };
}

} // namespace Peridot
