/// One entry host: everything that `foxtaild` does.
#pragma once

#include "foxtaillift/settings/daemon_settings.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace foxtaillift::daemon
{

/// Opens the listeners, runs the threads and stops gracefully.
///
///     entry_host host{settings::load_settings(path)};
///     return host.run(on_listening);
class entry_host
{
public:
    /// \throws base::error if an address cannot be bound.
    explicit entry_host(settings::daemon_settings settings);
    ~entry_host();
    entry_host(entry_host const&) = delete;
    entry_host& operator=(entry_host const&) = delete;

    /// Reports each listener as (role, address), then runs until SIGTERM or
    /// SIGINT and the graceful shutdown that follows. Returns the exit status:
    /// 0 if every request in progress was answered, 1 if the bound of the
    /// shutdown or a second signal cut it short.
    int run(std::function<void(std::string_view, std::string const&)> const&
                listening);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace foxtaillift::daemon
