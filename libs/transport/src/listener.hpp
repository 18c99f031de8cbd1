/// Accepts TCP connections.
#pragma once

#include "asio.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace foxtaillift::transport
{

/// Each accepted socket has a strand of its own as its executor.
class listener : public std::enable_shared_from_this<listener>
{
public:
    using accept_handler = std::function<void(tcp::socket)>;

    /// Binds at once. Throws base::error if that fails. `receive_buffer` is
    /// that of accepted sockets in bytes; 0: the system chooses.
    listener(
        net::io_context& context,
        std::string_view address,
        std::size_t receive_buffer = 0);

    [[nodiscard]] std::uint16_t port() const { return this->local.port(); }

    /// The handler runs on the listener's strand.
    void start(accept_handler on_accept);

    /// Hands over the connections that the kernel has already established,
    /// closes the port and calls `done` after the last accept handler.
    void stop(std::function<void()> done);

private:
    void accept_next();
    void accept_later();
    void finish();

    net::io_context& io;
    net::strand<net::io_context::executor_type> strand;
    tcp::acceptor acceptor;
    net::steady_timer pause;
    tcp::endpoint local;
    accept_handler handler;
    bool is_accepting = false;
    bool is_stopping = false;
    std::function<void()> on_done;
};

} // namespace foxtaillift::transport
