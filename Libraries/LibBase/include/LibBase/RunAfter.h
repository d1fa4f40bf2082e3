#pragma once

#include <LibBase/Time.h>
#include <asio/steady_timer.hpp>
#include <utility>

namespace Peridot {

/// Runs \a step after \a pause, unless the timer is cancelled, restarted or destroyed before.
template <typename Step>
void runAfter(asio::steady_timer &timer, Duration pause, Step step)
{
    timer.expires_after(pause);
    timer.async_wait([step = std::move(step)](const asio::error_code &error) mutable {
        if (!error)
            step();
    });
}

} // namespace Peridot
