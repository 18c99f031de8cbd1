/// HTTP/1.1 connections to upstreams, worker agents and the store.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/exchange.hpp"
#include "foxtaillift/transport/io_fwd.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace foxtaillift::transport
{

struct http_client_pool_options
{
    std::size_t connections_per_address = 8;
    std::size_t queue_per_address = 64; ///< above: not_sent, queue_full
    base::duration connect_timeout = base::seconds(1);
    base::duration tcp_user_timeout = base::seconds(3);
    base::duration idle_timeout = base::seconds(5); ///< then closed
    std::size_t header_limit = 16UL * 1024;
    std::size_t body_limit = 8UL * 1024 * 1024;
    /// Bodies of all answers being read; above: answer_too_large.
    std::size_t buffer_limit = 256UL * 1024 * 1024;
};

struct http_client_pool_statistics
{
    std::uint64_t requests = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
    std::uint64_t stale_connections = 0; ///< idle ones found closed or silent
    std::uint64_t queue_refusals = 0;
    std::uint64_t late_or_cancelled = 0;
    std::uint64_t broken_answers = 0; ///< early end, malformed, too large
    std::size_t connections_open = 0;
    std::size_t queued = 0;
};

/// Keeps connections alive for reuse and bounds them for each address. A
/// request above the bound waits in a bounded queue.
///
/// `not_sent` means that the kernel accepted no byte of the request. A kept
/// connection is probed immediately before a request is written to it; if it
/// has been closed, or if the write fails without a byte accepted, the request
/// goes to a new connection. Once a byte was accepted, a close without an
/// answer is `sent_unknown`: TCP cannot tell whether the server had read it.
///
/// Connections can go silent, together or one after the other, without a reset,
/// also in the middle of an answer; that a connection has answered says nothing
/// of later. So a request whose time runs out while its connection tells
/// nothing closes the idle connections to its address that have told nothing
/// within the last 400 ms. Of a request with a shorter time-out, those that
/// have told nothing since it was written close as well, unless another one
/// that was open then has. A silence thus costs the requests that follow each
/// other at most one time-out, and 400 ms.
///
/// An answer counts only if its whole body arrived. Without Content-Length or
/// chunked coding the end of a body is not certain, so such an answer is
/// `malformed_answer`. The connection of a failed request is closed.
///
/// Functions are safe from any thread.
///
///     pool.send(
///         "127.0.0.1:4000", {.target = "/x"}, base::seconds(1),
///         [](exchange_result result) { ... });
class http_client_pool
{
public:
    http_client_pool(
        boost::asio::io_context& io, http_client_pool_options options);
    http_client_pool(http_client_pool const&) = delete;
    http_client_pool& operator=(http_client_pool const&) = delete;
    /// Stops the pool. Callbacks that are still due follow on the io_context.
    ~http_client_pool();

    /// `timeout` covers the wait for a connection, the connect and the answer.
    /// Cancelling closes the request's connection.
    exchange_handle send(
        std::string_view address,
        request message,
        base::duration timeout,
        exchange_callback callback);

    /// Fails all requests and closes all connections.
    void stop();

    [[nodiscard]] http_client_pool_statistics statistics() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace foxtaillift::transport
