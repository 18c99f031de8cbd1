/// What all parts of the daemon share.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/logging/log_writer.hpp"
#include "foxtaillift/metrics/registry.hpp"
#include "foxtaillift/settings/daemon_settings.hpp"

#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace foxtaillift::daemon
{

/// `control` is run by one thread, which drives all engines but the call
/// routers. `calls` is run by several threads, which serve calls.
struct context
{
    settings::daemon_settings settings;
    logging::log_writer& log;
    metrics::registry& metrics;
    boost::asio::io_context& control;
    boost::asio::io_context& calls;
    base::steady_clock clock = {};
    base::random_engine random = base::make_seeded_engine(); ///< control thread
    std::string process = base::make_unique_id();

    [[nodiscard]] base::instant now() const { return this->clock.now(); }

    template <class Function>
    void post_control(Function&& function)
    {
        boost::asio::post(this->control, std::forward<Function>(function));
    }
};

} // namespace foxtaillift::daemon
