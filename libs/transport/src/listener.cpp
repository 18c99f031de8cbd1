#include "listener.hpp"

#include "address.hpp"
#include "foxtaillift/base/error.hpp"
#include "socket_tools.hpp"

namespace foxtaillift::transport
{

listener::listener(
    net::io_context& context,
    std::string_view address,
    std::size_t receive_buffer)
    : io(context)
    , strand(net::make_strand(context))
    , acceptor(this->strand)
    , pause(this->strand)
{
    auto const endpoint = require_address(address);
    try {
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(net::socket_base::reuse_address(true));
        if (receive_buffer > 0) {
            // Accepted sockets inherit it. It must be set before listen(),
            // since the window is agreed when a connection is established.
            this->acceptor.set_option(net::socket_base::receive_buffer_size(
                static_cast<int>(receive_buffer)));
        }
        this->acceptor.bind(endpoint);
        this->acceptor.listen();
        this->local = this->acceptor.local_endpoint();
    } catch (boost::system::system_error const& failure) {
        throw base::error(
            base::error_code::unavailable,
            "cannot listen on " + std::string{address} + ": " + failure.what());
    }
}

void listener::start(accept_handler on_accept)
{
    this->handler = std::move(on_accept);
    net::post(this->strand, [self = this->shared_from_this()] {
        if (!self->is_stopping) {
            self->accept_next();
        }
    });
}

void listener::accept_next()
{
    this->is_accepting = true;
    net::any_io_executor const executor = net::make_strand(this->io);
    this->acceptor.async_accept(
        executor, [self = this->shared_from_this()](
                      error_code failure, tcp::socket socket) {
            self->is_accepting = false;
            if (!failure) {
                self->handler(std::move(socket));
            }
            if (self->is_stopping) {
                self->finish();
            } else if (failure) {
                self->accept_later();
            } else {
                self->accept_next();
            }
        });
}

void listener::accept_later()
{
    // Out of file descriptors, most often. Without a pause the loop would spin
    // until one is free.
    this->pause.expires_after(std::chrono::milliseconds(100));
    this->pause.async_wait([self = this->shared_from_this()](error_code) {
        if (!self->is_stopping) {
            self->accept_next();
        }
    });
}

void listener::stop(std::function<void()> done)
{
    net::post(
        this->strand,
        [self = this->shared_from_this(), done = std::move(done)]() mutable {
            if (self->is_stopping) {
                done();
                return;
            }
            self->is_stopping = true;
            self->on_done = std::move(done);
            error_code failure;
            failure = self->acceptor.non_blocking(true, failure);
            while (!failure) {
                net::any_io_executor const executor =
                    net::make_strand(self->io);
                auto socket = self->acceptor.accept(executor, failure);
                if (!failure) {
                    self->handler(std::move(socket));
                }
            }
            close_socket(self->acceptor);
            self->pause.cancel();
            if (!self->is_accepting) {
                self->finish();
            }
        });
}

void listener::finish()
{
    this->handler = nullptr;
    if (auto const done = std::exchange(this->on_done, nullptr)) {
        done();
    }
}

} // namespace foxtaillift::transport
