#include "wake_timer.hpp"

#include <algorithm>

namespace foxtaillift::daemon
{

wake_timer::wake_timer(
    boost::asio::any_io_executor const& executor,
    std::function<void()> function)
    : timer(executor)
    , fire(std::move(function))
{}

void wake_timer::wake_at(base::instant when, base::instant now)
{
    if (this->is_pending && this->target == when) {
        return;
    }
    this->target = when;
    this->is_pending = true;
    // At least 1 ms, so that an engine whose wake time has passed cannot
    // occupy the thread.
    auto const delay = std::max(when - now, base::milliseconds(1));
    this->timer.expires_after(delay.to_chrono());
    this->timer.async_wait(
        [this, alive = this->is_alive](boost::system::error_code failure) {
            if (failure || !*alive) {
                return;
            }
            this->is_pending = false;
            // A copy, because the function may destroy this timer.
            auto const function = this->fire;
            function();
        });
}

void wake_timer::cancel()
{
    this->is_pending = false;
    this->timer.cancel();
}

} // namespace foxtaillift::daemon
