/// What the servers of this library have in common.
#pragma once

#include "asio.hpp"
#include "listener.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace foxtaillift::transport
{

/// State that the connections of one server share. Functions are safe from any
/// thread.
template <class T>
concept server_core = requires(T& core, std::function<void()> callback)
{
    core.options.address;
    core.in_progress;
    /// Drains present and future connections.
    core.drain_all();
    core.abort_all();
    /// Calls the callback as soon as no connection is left.
    core.finish(std::move(callback));
};

/// A listening port whose connections belong to a core. `connect` runs on the
/// listener's strand; the other functions are safe from any thread.
template <server_core Core>
class server_frame : public std::enable_shared_from_this<server_frame<Core>>
{
public:
    /// Binds the port. Throws base::error if that fails.
    server_frame(
        net::io_context& io,
        std::shared_ptr<Core> used,
        std::size_t receive_buffer = 0)
        : core(std::move(used))
        , port_listener(std::make_shared<listener>(
              io, this->core->options.address, receive_buffer))
    {}
    virtual ~server_frame() = default;
    server_frame(server_frame const&) = delete;
    server_frame& operator=(server_frame const&) = delete;

    void start()
    {
        this->port_listener->start(
            // Not a strong reference: the frame owns the listener.
            [weak = this->weak_from_this()](tcp::socket socket) {
                error_code failure;
                auto const remote = socket.remote_endpoint(failure);
                auto const self = weak.lock();
                if (self && !failure) {
                    self->connect(
                        std::move(socket), remote.address().to_string());
                }
            });
    }

    void stop(std::function<void()> on_stopped)
    {
        this->core->drain_all();
        this->port_listener->stop(
            [shared = this->core,
             on_stopped = std::move(on_stopped)]() mutable {
                shared->finish(std::move(on_stopped));
            });
    }

    void abort()
    {
        this->port_listener->stop(
            [shared = this->core] { shared->abort_all(); });
        this->core->abort_all();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return this->port_listener->port();
    }
    [[nodiscard]] std::size_t requests_in_progress() const
    {
        return *this->core->in_progress;
    }

    std::shared_ptr<Core> const core;

protected:
    virtual void connect(tcp::socket socket, std::string const& remote) = 0;

private:
    std::shared_ptr<listener> port_listener;
};

} // namespace foxtaillift::transport
