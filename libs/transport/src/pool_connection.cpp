#include "pool_connection.hpp"

#include "http_text.hpp"
#include "pool_group.hpp"
#include "socket_tools.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace foxtaillift::transport
{

namespace
{

constexpr std::size_t read_size = 16UL * 1024;
/// Of an answer that fills the buffer. A busy process reads once in each turn
/// of its event loop, so that 1 MB in small pieces took longer than the time
/// limit of the request.
constexpr std::size_t largest_read_size = 256UL * 1024;

/// A cut that silenced a request is older than its time-out by more than this:
/// callers wait at least so long for an answer that is due.
constexpr base::duration answered_lately = base::milliseconds(400);

} // namespace

pool_connection::pool_connection(std::shared_ptr<pool_group> owner)
    : group(std::move(owner))
    , socket(this->group->strand)
    , timer(this->group->strand)
{
    ++this->group->core->counters.open;
}

pool_connection::~pool_connection()
{
    --this->group->core->counters.open;
}

void pool_connection::run(std::shared_ptr<pool_exchange> exchange)
{
    this->current = std::move(exchange);
    this->current->hold([weak = this->weak_from_this()](
                            failure_reason reason, std::string message) {
        if (auto const self = weak.lock()) {
            ++self->group->core->counters.late_or_cancelled;
            if (reason == failure_reason::deadline) {
                self->report_silence();
            }
            self->fail(reason, std::move(message));
        }
    });
    this->accepted_bytes = 0;
    this->reader.emplace(
        response_limits{
            this->group->core->options.header_limit,
            this->group->core->options.body_limit},
        this->current->message.method == "HEAD", this->group->core->budget);
    ++this->timer_number;
    ++this->idle_number;
    if (this->is_connected) {
        this->is_reused = true;
        ++this->group->core->counters.reused;
        this->write();
    } else {
        this->connect();
    }
}

void pool_connection::connect()
{
    this->arm(
        this->group->core->options.connect_timeout,
        &pool_connection::on_connect_timeout);
    this->socket.async_connect(
        this->group->endpoint,
        [self = this->shared_from_this()](error_code failure) {
            self->on_connected(failure);
        });
}

void pool_connection::on_connected(error_code failure)
{
    if (this->is_closed) {
        return;
    }
    if (failure) {
        this->fail(
            failure == net::error::connection_refused
                ? failure_reason::no_listener
                : failure_reason::no_connection,
            failure.message());
        return;
    }
    ++this->timer_number;
    ++this->group->core->counters.opened;
    this->is_connected = true;
    this->opened = std::chrono::steady_clock::now();
    this->heard = this->opened;
    tune(this->socket, tcp::no_delay(true));
    tune(
        this->socket, user_timeout_option(static_cast<int>(
                          this->group->core->options.tcp_user_timeout.ms)));
    this->write();
}

void pool_connection::on_connect_timeout()
{
    this->fail(failure_reason::no_connection, "the connect timed out");
}

void pool_connection::write()
{
    auto const& message = this->current->message;
    this->head = make_request_head(message, this->group->address);
    std::array<net::const_buffer, 2> const buffers{
        net::buffer(this->head), net::buffer(message.body)};
    this->is_writing = true;
    this->written = std::chrono::steady_clock::now();
    // The exchange is captured because it owns the body.
    net::async_write(
        this->socket, buffers,
        [self = this->shared_from_this(),
         exchange = this->current](error_code failure, std::size_t bytes) {
            self->on_written(failure, bytes);
        });
    this->read();
}

void pool_connection::on_written(error_code failure, std::size_t bytes)
{
    this->is_writing = false;
    this->accepted_bytes = bytes;
    if (this->fault != failure_reason::none) {
        this->conclude();
    } else if (failure && bytes == 0 && this->current) {
        this->fail(failure_reason::connection_lost, failure.message());
    } else if (this->is_answered && !this->is_closed) {
        this->is_answered = false;
        if (failure) {
            this->close();
        } else {
            this->wait_idle();
        }
    }
    // After a partial write the server may still have sent an answer, so the
    // read decides.
}

void pool_connection::read()
{
    this->scratch.resize(std::max(this->scratch.size(), read_size));
    this->socket.async_read_some(
        net::buffer(this->scratch), [self = this->shared_from_this()](
                                        error_code failure, std::size_t bytes) {
            self->on_read(failure, bytes);
        });
}

void pool_connection::on_read(error_code failure, std::size_t bytes)
{
    if (this->is_closed) {
        return;
    }
    if (failure) {
        if (failure == net::error::timed_out) {
            this->report_silence();
        }
        bool const has_part = this->reader->has_started();
        if (has_part) {
            ++this->group->core->counters.broken_answers;
        }
        this->fail(
            has_part ? failure_reason::incomplete_answer
                     : failure_reason::connection_lost,
            failure.message());
        return;
    }
    this->heard = std::chrono::steady_clock::now();
    this->input.append(this->scratch, 0, bytes);
    if (bytes == this->scratch.size()) {
        constexpr std::size_t growth = 4;
        this->scratch.resize(std::min(bytes * growth, largest_read_size));
    }
    switch (this->reader->consume(this->input)) {
    case response_reader::progress::need_more:
        this->read();
        break;
    case response_reader::progress::complete:
        this->on_answer();
        break;
    case response_reader::progress::failed:
        ++this->group->core->counters.broken_answers;
        this->fail(this->reader->reason(), this->reader->message());
        break;
    }
}

void pool_connection::on_answer()
{
    // Bytes after the answer belong to no request.
    bool const is_reusable = this->reader->keeps_alive() && this->input.empty();
    exchange_result result{
        .outcome = delivery::answered,
        .reason = failure_reason::none,
        .message = {},
        .answer = this->reader->take()};
    this->reader.reset();
    if (this->scratch.size() > read_size) {
        std::string{}.swap(this->scratch);
    }
    auto const exchange = std::exchange(this->current, nullptr);
    if (!is_reusable) {
        this->close();
    } else if (this->is_writing) {
        // The server answered early, or the handler of the finished write is
        // still queued: several threads may run the two in either order.
        this->is_answered = true;
        this->arm(early_answer_wait, &pool_connection::close);
    } else {
        this->wait_idle();
    }
    exchange->finish(std::move(result));
}

void pool_connection::wait_idle()
{
    auto const number = ++this->idle_number;
    this->arm(this->group->core->options.idle_timeout, &pool_connection::close);
    this->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(), number](error_code) {
            if (self->idle_number == number) {
                self->close();
            }
        });
    this->group->on_idle(this->shared_from_this());
}

bool pool_connection::is_usable()
{
    char byte = 0;
    auto const received =
        ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void pool_connection::fail(failure_reason reason, std::string message)
{
    if (this->is_closed && !this->current) {
        return;
    }
    // Also while the outcome of an outstanding write is awaited: a request that
    // has been cancelled must not go to another connection.
    this->fault = reason;
    this->fault_message = std::move(message);
    if (this->is_closed) {
        return;
    }
    // An outstanding write completes with the count of bytes that the kernel
    // accepted, which decides between not_sent and sent_unknown.
    bool const is_waiting_for_write = this->is_writing;
    this->close();
    if (!is_waiting_for_write) {
        this->conclude();
    }
}

void pool_connection::conclude()
{
    auto const exchange = std::exchange(this->current, nullptr);
    if (!exchange) {
        return;
    }
    if (this->accepted_bytes > 0) {
        exchange->finish(make_failure(
            delivery::sent_unknown, this->fault,
            std::move(this->fault_message)));
    } else if (
        this->is_reused && this->fault == failure_reason::connection_lost) {
        ++this->group->core->counters.stale;
        this->group->submit(exchange);
    } else {
        exchange->finish(make_failure(
            delivery::not_sent, this->fault, std::move(this->fault_message)));
    }
}

std::chrono::steady_clock::time_point pool_connection::recent()
{
    return std::chrono::steady_clock::now() - answered_lately.to_chrono();
}

void pool_connection::report_silence()
{
    if (this->is_connected && this->heard < std::max(this->written, recent())) {
        this->group->on_silence(this->written);
    }
}

void pool_connection::close()
{
    if (this->is_closed) {
        return;
    }
    this->is_closed = true;
    ++this->timer_number;
    ++this->idle_number;
    this->timer.cancel();
    close_socket(this->socket);
    this->group->on_closed(this);
}

void pool_connection::arm(
    base::duration limit, void (pool_connection::*action)())
{
    auto const number = ++this->timer_number;
    this->timer.expires_after(limit.to_chrono());
    this->timer.async_wait(
        [weak = this->weak_from_this(), number, action](error_code) {
            auto const self = weak.lock();
            if (self && self->timer_number == number) {
                ((*self).*action)();
            }
        });
}

} // namespace foxtaillift::transport
