#pragma once

#include <LibBase/Time.h>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace Peridot {

/// Timer that runs a step once, after a pause, on the executor it was created with. A step that is
/// due but has not run yet is dropped when the timer is started again, cancelled or destroyed. With
/// asio::steady_timer alone it would still run, because its handler is queued already; a step that
/// uses the owner of the timer would then use a destroyed object.
class OneShotTimer
{
public:
    explicit OneShotTimer(const asio::steady_timer::executor_type &executor) : m_timer(executor) { }
    template <typename Context>
    explicit OneShotTimer(Context &context) : m_timer(context)
    {
    }
    OneShotTimer(const OneShotTimer &) = delete;
    OneShotTimer &operator=(const OneShotTimer &) = delete;

    template <typename Step>
    void runAfter(Duration pause, Step step)
    {
        m_pending = std::make_shared<bool>(true);
        m_timer.expires_after(pause);
        m_timer.async_wait([step = std::move(step), pending = std::weak_ptr(m_pending)](
                               const asio::error_code &error) mutable {
            if (!error && !pending.expired())
                step();
        });
    }
    void cancel()
    {
        m_pending.reset();
        m_timer.cancel();
    }
    asio::steady_timer::executor_type executor() { return m_timer.get_executor(); }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_pending; ///< replaced by each start; expired for steps to be dropped
};

} // namespace Peridot
