/// A timer that calls one function at the instant that an engine names.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace foxtaillift::daemon
{

/// Used by one thread or strand, the one of `executor`. Destroying it cancels
/// the pending call.
class wake_timer
{
public:
    wake_timer(
        boost::asio::any_io_executor const& executor,
        std::function<void()> fire);

    /// Calls the function at `when`, or at once if that has passed. Replaces an
    /// earlier instant.
    void wake_at(base::instant when, base::instant now);
    void cancel();

private:
    boost::asio::steady_timer timer;
    std::function<void()> fire;
    base::instant target{};
    bool is_pending = false;
    std::shared_ptr<bool> is_alive = std::make_shared<bool>(true);

public:
    ~wake_timer() { *this->is_alive = false; }
    wake_timer(wake_timer const&) = delete;
    wake_timer& operator=(wake_timer const&) = delete;
};

} // namespace foxtaillift::daemon
