/// HTTP/1.1 server for callers, and over TLS for operators.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/io_fwd.hpp"
#include "foxtaillift/transport/responder.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtaillift::transport
{

struct http_server_options
{
    std::string address = "127.0.0.1:0"; ///< port 0: chosen by the system
    /// Empty: plain TCP. Otherwise TLS 1.3 with this pre-shared key, at least
    /// 16 bytes.
    std::string tls_key{};
    std::size_t header_limit = 16UL * 1024;     ///< above: 431
    std::size_t body_limit = 8UL * 1024 * 1024; ///< above: 413
    /// Bytes that all connections hold: read buffers, unread input, requests
    /// until their answer is written. When it is reached, requests that have
    /// not arrived whole are dropped (503), those without progress for longest
    /// first; without such a one the newest request is refused (503).
    std::size_t buffer_limit = 256UL * 1024 * 1024;
    base::duration header_timeout = base::seconds(10); ///< then 408
    base::duration body_timeout = base::seconds(60);   ///< then 408
    base::duration idle_timeout = base::seconds(60);   ///< between requests
    base::duration write_timeout = base::seconds(30);
    /// At both limits a connection without a whole request is closed for the
    /// new one, that without progress for longest first.
    std::size_t connections_per_address = 256; ///< above: 429
    std::size_t connections = 10'000;          ///< above: 503
    /// Bytes that the system may receive ahead for each connection, at least
    /// 2,048; 0: as many as it chooses. It may take twice the memory.
    std::size_t receive_buffer = 0;
    /// How long a graceful stop waits for requests that are under way on idle
    /// connections.
    base::duration stop_grace = base::seconds(1);
};

struct http_server_statistics
{
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_refused = 0;
    std::uint64_t requests = 0;
    std::uint64_t bad_requests = 0; ///< answered by the server with 4xx or 503
    std::uint64_t disconnects = 0;  ///< before the answer was written
    std::uint64_t handshakes_failed = 0;
    std::size_t connections_open = 0;
    std::size_t buffered_bytes = 0; ///< that all connections hold
    /// Connections without a whole request that were closed for want of
    /// memory, after a refusal if a request had begun.
    std::uint64_t dropped_for_memory = 0;
    std::uint64_t dropped_for_connections = 0; ///< at a limit of connections
    std::uint64_t refused_for_memory = 0;      ///< none could be dropped
};

/// Accepts connections and hands whole requests to a handler. Requests of one
/// connection are handled one after the other, so pipelined requests are
/// answered in order and take no memory beyond one header block.
///
/// A request with both length forms, a transfer coding other than chunked, or
/// obsolete line folding gets 400, and the connection is closed.
///
/// Functions are safe from any thread. Destroy it after `on_stopped` was called
/// or after the io_context has stopped.
///
///     http_server server{io, {.address = "127.0.0.1:0"}, handle};
///     std::uint16_t port = server.port();
class http_server
{
public:
    /// Throws base::error if the address is malformed, the key is too short or
    /// the port is in use.
    http_server(
        boost::asio::io_context& io,
        http_server_options const& options,
        request_handler handler);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    ~http_server();

    [[nodiscard]] std::uint16_t port() const;

    /// Requests handed to the handler whose answer is not written yet.
    [[nodiscard]] std::size_t requests_in_progress() const;

    [[nodiscard]] http_server_statistics statistics() const;

    /// Replaces `connections` of the options. Above it, connections without a
    /// whole request are closed.
    void limit_connections(std::size_t most);

    /// Graceful stop: accepts no connection, answers the requests in progress
    /// and those that arrive within `stop_grace` with `Connection: close`, then
    /// closes. Calls `on_stopped` when the last connection is closed.
    void stop(std::function<void()> on_stopped);

    /// Closes all connections at once.
    void abort();

private:
    class implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace foxtaillift::transport
