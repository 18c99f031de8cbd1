/// One request of the HTTP/1.1 client pool.
#pragma once

#include "asio.hpp"
#include "foxtaillift/transport/exchange.hpp"

#include <functional>
#include <memory>
#include <string>

namespace foxtaillift::transport
{

using pool_strand = net::strand<net::io_context::executor_type>;

/// All functions except `cancel` run on the strand of the request's address.
class pool_exchange : public detail::cancellable,
                      public std::enable_shared_from_this<pool_exchange>
{
public:
    /// Ends the request wherever it is: in the queue or on a connection.
    using stop_function = std::function<void(failure_reason, std::string)>;

    pool_exchange(
        pool_strand executor, request message, exchange_callback on_result);

    void start_deadline(std::chrono::steady_clock::time_point deadline);

    /// Says who holds the request now.
    void hold(stop_function on_stop) { this->stopper = std::move(on_stop); }

    /// Calls the callback, the first time that it is called.
    void finish(exchange_result result);

    [[nodiscard]] bool is_finished() const { return !this->callback; }

    void cancel() override;

    request const message;

private:
    pool_strand strand;
    net::steady_timer timer;
    exchange_callback callback;
    stop_function stopper;
};

/// A result without an answer.
exchange_result
make_failure(delivery outcome, failure_reason reason, std::string message);

} // namespace foxtaillift::transport
